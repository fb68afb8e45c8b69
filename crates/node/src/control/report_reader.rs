//! Reads the sums of a report from the store.

use std::time::Duration;

use almondsail_core::report::{HourKey, StoredHours};
use almondsail_core::store::{StoreReply, StoreRequest};
use futures::{Stream, StreamExt, stream};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};

use crate::control::cost_meter::CostMeter;
use crate::store_client::StoreClient;

/// Time between two reads: 200 reads/s, a tenth of what the store handles.
const READ_PERIOD: Duration = Duration::from_millis(5);
/// Number of reads under way at most.
const MAX_CONCURRENT_READS: usize = 8;
/// The time for all reads; hours not read by then are missing. 31 days of 7 data
/// centres take 26 s.
const TOTAL_READ_TIMEOUT: Duration = Duration::from_secs(45);
/// After this many failed reads the store counts as lost, and the rest is missing.
const MAX_FAILED_READS: usize = 8;

/// Adds the values of `keys` to `hours`, as far as the store tells them.
pub(crate) async fn read_hours<S: StoreClient>(
    store: S,
    cost: CostMeter,
    keys: Vec<HourKey>,
    mut hours: StoredHours,
) -> StoredHours {
    let until = Instant::now() + TOTAL_READ_TIMEOUT;
    let read = |key: HourKey| {
        cost.count_store_call();
        let reply = store.request(StoreRequest::ReadHour(key.clone()));
        async move { (key, reply.await) }
    };
    let mut replies = std::pin::pin!(paced(keys).map(read).buffer_unordered(MAX_CONCURRENT_READS));
    let mut failed = 0;
    while let Ok(Some((key, reply))) = timeout_at(until, replies.next()).await {
        match reply {
            StoreReply::Hour(stored) => {
                if let Some(value) = stored.value {
                    hours.insert(key, value.sums);
                }
            }
            _ => failed += 1,
        }
        if failed >= MAX_FAILED_READS {
            break;
        }
    }
    hours
}

/// The keys, one each [`READ_PERIOD`].
fn paced(keys: Vec<HourKey>) -> impl Stream<Item = HourKey> {
    let mut ticks = interval(READ_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    stream::unfold((keys.into_iter(), ticks), |(mut keys, mut ticks)| async move {
        let key = keys.next()?;
        ticks.tick().await;
        Some((key, (keys, ticks)))
    })
}
