//! Start-time fair queueing among the teams of a rank.

use std::collections::HashMap;

use crate::fleet::{CallRank, ShareHolder};
use crate::units::Micros;

/// Virtual time of a rank: the expected run time that each of its backlogged holders has received.
pub type VirtualTime = u64;

/// Start-time fair queueing among the teams of each rank by expected run time.
///
/// The virtual time of a team grows by the expected run time of each call that it starts, and the
/// team with the lowest one goes next. A team that was idle resumes at the virtual time of its rank
/// and so gains nothing by having been idle.
#[derive(Debug, Default)]
pub struct FairShare {
    ranks: HashMap<CallRank, RankShares>,
    /// The number of accounts in all ranks, at most [`Self::MAX_ACCOUNTS`] and one for the others
    /// of each rank.
    accounts: usize,
}

#[derive(Debug, Default)]
struct RankShares {
    virtual_time: VirtualTime,
    /// The virtual time of each holder whose virtual time exceeds that of the rank. A holder that
    /// has none is at the virtual time of the rank.
    accounts: HashMap<ShareHolder, VirtualTime>,
}

impl FairShare {
    /// The largest number of teams that are counted separately, over all ranks. Further ones share
    /// one account of their rank.
    pub const MAX_ACCOUNTS: usize = 512;

    /// Returns the virtual time at which the next call of `holder` starts.
    pub fn start_tag(&self, rank: CallRank, holder: &ShareHolder) -> VirtualTime {
        let Some(shares) = self.ranks.get(&rank) else { return 0 };
        let account = shares.accounts.get(holder).or_else(|| {
            let is_full = self.accounts >= Self::MAX_ACCOUNTS;
            is_full.then(|| shares.accounts.get(&ShareHolder::Others)).flatten()
        });
        account.map_or(shares.virtual_time, |finish| shares.virtual_time.max(*finish))
    }

    /// Returns the virtual time of `rank`.
    pub fn virtual_time(&self, rank: CallRank) -> VirtualTime {
        self.ranks.get(&rank).map_or(0, |shares| shares.virtual_time)
    }

    /// Records that a call of `holder` starts and is expected to run for `work`. `lowest_tag` is
    /// the lowest start tag of the holders in `rank` that have waiting calls, `holder` included.
    pub fn record_start(
        &mut self,
        rank: CallRank,
        holder: ShareHolder,
        work: Micros,
        lowest_tag: VirtualTime,
    ) {
        let tag = self.start_tag(rank, &holder);
        let shares = self.ranks.entry(rank).or_default();
        let is_new = !shares.accounts.contains_key(&holder);
        let holder = match is_new && self.accounts >= Self::MAX_ACCOUNTS {
            true => ShareHolder::Others,
            false => holder,
        };
        shares.virtual_time = shares.virtual_time.max(lowest_tag.min(tag));
        shares.accounts.insert(holder, tag.saturating_add(work.get().max(1)));
        self.forget_idle();
    }

    /// Returns the number of teams that are counted separately.
    pub const fn accounts(&self) -> usize {
        self.accounts
    }

    /// Forgets the holders that are at the virtual time of their rank, as one without an account
    /// is.
    fn forget_idle(&mut self) {
        self.accounts = 0;
        self.ranks.retain(|_, shares| {
            let virtual_time = shares.virtual_time;
            shares.accounts.retain(|_, finish| *finish > virtual_time);
            self.accounts += shares.accounts.len();
            !shares.accounts.is_empty()
        });
    }
}
