//! Reads the hourly sums of a report from the store.

use std::time::Duration;

use almondsail_core::report::{HourKey, StoredHours};
use almondsail_core::store::{StoreReply, StoreRequest};
use futures::{Stream, StreamExt, stream};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};

use crate::control::cost_meter::CostMeter;
use crate::store_client::StoreClient;

/// Interval between two reads: 200 reads/s, a tenth of what the store handles.
const READ_PERIOD: Duration = Duration::from_millis(5);
/// Limit on reads that wait for the store at the same time.
const MAX_CONCURRENT_READS: usize = 8;
/// Time limit for all reads of a report; hours not read by then are missing from it. 31 days
/// of 7 data centres take 26 s.
const TOTAL_READ_TIMEOUT: Duration = Duration::from_secs(45);
/// After this many failed reads the store counts as unreachable and the remaining hours as
/// missing.
const MAX_FAILED_READS: usize = 8;

/// Reads `keys` from the store and adds their values to `hours`, which lacks those that failed
/// or came too late.
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

/// Yields one key per [`READ_PERIOD`].
fn paced(keys: Vec<HourKey>) -> impl Stream<Item = HourKey> {
    let mut ticks = interval(READ_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    stream::unfold((keys.into_iter(), ticks), |(mut keys, mut ticks)| async move {
        let key = keys.next()?;
        ticks.tick().await;
        Some((key, (keys, ticks)))
    })
}
