//! Grants tokens of quotas.

use std::collections::HashMap;

use super::{
    QuotaGrant, QuotaMembers, QuotaRequest, QuotaRole, QuotaSettings, TokenBucket, TokenCount,
};
use crate::fleet::Quota;
use crate::ids::TeamName;
use crate::units::{Instant, Micros, Millis};

/// Grants tokens of the teams whose quotas this node keeps.
#[derive(Debug)]
pub struct QuotaOwner {
    settings: QuotaSettings,
    /// The teams in use whose owner or deputy this node is.
    buckets: HashMap<TeamName, KeptQuota>,
    /// The version of the members by which the roles in `buckets` were determined.
    members_version: u64,
}

#[derive(Debug)]
struct KeptQuota {
    bucket: TokenBucket,
    role: QuotaRole,
    /// When the node resumed after the pause for which the bucket was last reset.
    resumed: Instant,
}

/// Rate in tokens per second and capacity in tokens of a bucket.
#[derive(Debug, Clone, Copy)]
struct Limits {
    rate: f64,
    capacity: f64,
}

impl QuotaOwner {
    /// The longest time that a call waits for a token that does not exist yet.
    pub const MAX_WAIT: Millis = Millis::new(100);
    /// The share of the tokens in a bucket that one request gets at most, so that the first of many
    /// nodes doesn't take all of them.
    const MAX_SHARE: f64 = 0.25;

    /// Creates the state of a node that keeps no quota yet.
    pub fn new(settings: QuotaSettings) -> Self {
        Self { settings, buckets: HashMap::new(), members_version: 0 }
    }

    /// Forgets the teams whose quotas other nodes keep now. To be called after each change of the
    /// candidates: the bucket of a team that comes back later must not hold the tokens of the time
    /// in which another node granted some.
    pub fn update_members(&mut self, now: Instant, members: &QuotaMembers) {
        self.members_version = members.version;
        let settings = self.settings;
        self.buckets.retain(|team, kept| {
            let role = members.role(team.as_str());
            if kept.role == QuotaRole::Deputy && role == QuotaRole::Owner {
                let level = kept.bucket.level(now).min(settings.initial_tokens());
                kept.bucket = TokenBucket::new(now, 0.0, level.max(1.0), level);
            }
            kept.role = role;
            role != QuotaRole::Other
        });
    }

    /// Answers a request for tokens of a team with the limit `quota`.
    pub fn answer(
        &mut self,
        now: Instant,
        members: &QuotaMembers,
        quota: Option<&Quota>,
        request: &QuotaRequest,
    ) -> QuotaGrant {
        let not_kept = || QuotaGrant::not_kept(request.id, request.team.clone());
        let Some(quota) = quota.filter(|_| !members.is_old(now)) else { return not_kept() };
        if self.members_version != members.version {
            self.update_members(now, members);
        }
        let settings = self.settings;
        let kept = self.buckets.entry(request.team.clone());
        let kept = kept.or_insert_with(|| KeptQuota::new(now, members, &settings, quota, request));
        if kept.role == QuotaRole::Other {
            self.buckets.remove(&request.team);
            return not_kept();
        }
        kept.apply_limits(now, members, &settings, quota);
        kept.grant(now, request)
    }
}

impl KeptQuota {
    fn new(
        now: Instant,
        members: &QuotaMembers,
        settings: &QuotaSettings,
        quota: &Quota,
        request: &QuotaRequest,
    ) -> Self {
        let role = members.role(request.team.as_str());
        let limits = Limits::of(now, role, members, settings, quota);
        // No other node has granted tokens since then.
        let unused_since = members.unchanged_since.max(members.handover_until);
        let unused = now.since(unused_since).get() as f64 / 1e6 * limits.rate;
        let level = settings.initial_tokens() + unused;
        let bucket = TokenBucket::new(now, limits.rate, limits.capacity, level);
        Self { bucket, role, resumed: members.resumed }
    }

    fn apply_limits(
        &mut self,
        now: Instant,
        members: &QuotaMembers,
        settings: &QuotaSettings,
        quota: &Quota,
    ) {
        let limits = Limits::of(now, self.role, members, settings, quota);
        if self.resumed != members.resumed {
            // Another node may have granted tokens during the pause.
            self.resumed = members.resumed;
            let level = settings.initial_tokens();
            self.bucket = TokenBucket::new(now, limits.rate, limits.capacity, level);
        }
        self.bucket.set_limits(now, limits.rate, limits.capacity);
    }

    fn grant(&mut self, now: Instant, request: &QuotaRequest) -> QuotaGrant {
        let grant = |granted: u32, retry_after: Millis| QuotaGrant {
            id: request.id,
            team: request.team.clone(),
            granted: TokenCount::new(granted),
            expires: QuotaGrant::MAX_LIFETIME,
            retry_after,
        };
        let level = self.bucket.level(now);
        if level >= 1.0 {
            let most = (level * QuotaOwner::MAX_SHARE).max(1.0) as u32;
            let granted = request.wanted.get().clamp(1, most);
            self.bucket.take(now, f64::from(granted));
            return grant(granted, Millis::default());
        }
        let until_token =
            self.bucket.time_until_token(now).map_or(QuotaGrant::MAX_RETRY_AFTER, to_millis);
        if until_token <= request.max_wait.min(QuotaOwner::MAX_WAIT) {
            self.bucket.take(now, 1.0);
            return grant(1, until_token);
        }
        if self.role == QuotaRole::Deputy {
            return QuotaGrant::not_kept(request.id, request.team.clone());
        }
        grant(0, until_token.min(QuotaGrant::MAX_RETRY_AFTER))
    }
}

impl Limits {
    /// Returns the limits of the node's part of `quota`. The nodes that an owner doesn't hear may
    /// have another owner, or use their local shares.
    fn of(
        now: Instant,
        role: QuotaRole,
        members: &QuotaMembers,
        settings: &QuotaSettings,
        quota: &Quota,
    ) -> Self {
        let share = members.share(now);
        let (rate, capacity) = (quota.rate.per_second() * share, f64::from(quota.burst) * share);
        match role {
            QuotaRole::Owner => Self { rate, capacity },
            QuotaRole::Deputy => Self {
                rate: rate.min(settings.deputy_rate()),
                capacity: capacity.min(settings.initial_tokens()),
            },
            QuotaRole::Other => Self { rate: 0.0, capacity: 0.0 },
        }
    }
}

/// Rounds up, so that a token exists when the time is over.
const fn to_millis(span: Micros) -> Millis {
    Millis::new(span.get().div_ceil(1_000))
}
