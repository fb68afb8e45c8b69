//! The calls at a backend server, by this node's count and by the load that the server reports.

use std::collections::BTreeMap;

use crate::fleet::ServerLoad;
use crate::units::{Instant, Millis};

/// Identifies a call that holds a slot of the queue in front of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SentCall(u64);

/// How a call ended for this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The server answered or closed the connection, or the call was never sent.
    Finished,
    /// This node closed the connection, so the server may still run the call.
    Abandoned,
}

/// The calls at a backend server, by this node's count and by the load that the server reports.
///
/// Decides how many calls may hold slots. A server that reports nothing gets as many calls as it
/// has slots, apart from the first moments of a node's process.
///
/// A load says nothing of calls sent after its response was written, and the order in which
/// responses are read is not that in which they were written. So a call hangs only if two responses
/// leave it out, of which the second belongs to a call that was sent after the first was read.
#[derive(Debug, Default)]
pub struct ServerOccupancy {
    /// The calls that hold slots, in the order in which they got them.
    calls: BTreeMap<SentCall, OwnCall>,
    /// Calls at the server that hold no slot: those of an earlier process of this node, and those
    /// whose connection this node closed.
    others: Vec<OtherCall>,
    next_call: u64,
    start: StartPhase,
    /// The load that the server reported last; `None` if it reports none.
    told: Option<ServerLoad>,
    answered_call: AnsweredCall,
    /// When this node last closed the connection of a call.
    abandoned_at: Option<Instant>,
    /// The number of calls that were found hanging so far.
    hanging_calls: u64,
}

/// What is known of the calls that an earlier process of this node left at the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartPhase {
    /// The server has responded to no call; the first one was sent at this instant.
    Unknown(Option<Instant>),
    /// The server has responded, without its load if it reports none.
    Known,
}

impl Default for StartPhase {
    fn default() -> Self {
        Self::Unknown(None)
    }
}

/// Whether the load that a server reports includes the call that it answers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum AnsweredCall {
    #[default]
    Unknown,
    /// An answer counted a call when there was no other.
    Counted,
    /// An answer counted no call.
    Omitted,
}

/// A call that holds a slot.
#[derive(Debug, Clone, Copy)]
struct OwnCall {
    deadline: Instant,
    /// When the call was last written to a connection; `None` before that.
    sent_at: Option<Instant>,
    state: CallState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallState {
    /// The server runs the call as far as is known.
    Running,
    /// A response that was read at this instant left the call out.
    LeftOut(Instant),
    /// The server neither runs nor queues the call, and does not answer it.
    Hanging,
    /// The server has begun to answer, so that it may count the call no longer.
    Answered,
    /// The server may count the call late, since it has a large body.
    Uncertain,
}

/// A call at the server that holds no slot.
#[derive(Debug, Clone, Copy)]
struct OtherCall {
    sent_at: Instant,
    /// The call counts until this instant at the latest.
    until: Instant,
    /// Whether an earlier process of this node sent the call.
    is_earlier: bool,
}

impl ServerOccupancy {
    /// A call that was sent this long before the answered call, or before the response was read, is
    /// counted in the response unless the server dropped or hangs it.
    const COUNTING_DELAY: Millis = Millis::new(20);
    /// The interval at which calls may begin before the first response of the server.
    const START_INTERVAL: Millis = Millis::new(2);
    /// How long the calls of an earlier process of this node may run.
    const MAX_EARLIER_TIME: Millis = Millis::new(10_000);

    /// Records that a call with `deadline` got a slot. A call whose body `is_large` may be counted
    /// late by the server.
    pub fn begin(&mut self, now: Instant, deadline: Instant, is_large: bool) -> SentCall {
        if self.start == StartPhase::Unknown(None) {
            self.start = StartPhase::Unknown(Some(now));
        }
        let id = SentCall(self.next_call);
        self.next_call += 1;
        let state = if is_large { CallState::Uncertain } else { CallState::Running };
        self.calls.insert(id, OwnCall { deadline, sent_at: None, state });
        id
    }

    /// Records that `call` is written to a connection.
    pub fn record_sent(&mut self, now: Instant, call: SentCall) {
        if let Some(call) = self.calls.get_mut(&call) {
            call.sent_at = Some(now);
        }
    }

    /// Records the head of the response to `call`, with the load that it reports; `has_run` is
    /// false for a refusal. Returns the calls that are now found hanging.
    pub fn record_response(
        &mut self,
        now: Instant,
        call: SentCall,
        load: Option<ServerLoad>,
        has_run: bool,
    ) -> Vec<SentCall> {
        let Some(answered) = self.calls.get_mut(&call) else { return Vec::new() };
        answered.state = CallState::Answered;
        let sent_at = answered.sent_at;
        let is_first = std::mem::replace(&mut self.start, StartPhase::Known) != StartPhase::Known;
        self.told = load;
        let Some(load) = load else {
            self.others.clear();
            return Vec::new();
        };
        if has_run {
            self.learn_answered_call(now, load);
        }
        let without_answered = load.calls().saturating_sub(u32::from(has_run));
        let (most, least) = match self.answered_call {
            AnsweredCall::Unknown => (load.calls(), without_answered),
            AnsweredCall::Counted => (without_answered, without_answered),
            AnsweredCall::Omitted => (load.calls(), load.calls()),
        };
        self.update_others(now, least, most, is_first);
        sent_at.map_or_else(Vec::new, |sent_at| self.find_hanging(now, sent_at, most))
    }

    /// Records the head of a response to `call` whose load could not be read.
    pub fn record_unreadable_load(&mut self, call: SentCall) {
        if let Some(answered) = self.calls.get_mut(&call) {
            answered.state = CallState::Answered;
            self.start = StartPhase::Known;
        }
    }

    /// Records that `call` no longer holds a slot.
    pub fn end(&mut self, now: Instant, call: SentCall, end: CallEnd) {
        let Some(ended) = self.calls.remove(&call) else { return };
        if end == CallEnd::Abandoned {
            self.abandoned_at = Some(now);
        }
        let is_over = matches!(ended.state, CallState::Hanging | CallState::Answered);
        let may_run = end == CallEnd::Abandoned && !is_over;
        let may_count = may_run && (self.start != StartPhase::Known || self.reports_service_time());
        if let Some(sent_at) = ended.sent_at.filter(|_| may_count) {
            let until = ended.deadline.max(now);
            self.others.push(OtherCall { sent_at, until, is_earlier: false });
        }
    }

    /// Returns how many calls may hold slots of a server with `slots`, hanging calls included.
    pub fn limit(&self, now: Instant, slots: u32) -> u32 {
        let allowed = match self.start {
            StartPhase::Unknown(first_at) => Self::start_limit(now, first_at, slots),
            StartPhase::Known => slots,
        };
        // With calls of an earlier process alone at the server, one call at a time finds out when
        // they end.
        let is_earlier_alone = self.others.iter().all(|other| other.is_earlier);
        let least = if is_earlier_alone { allowed.min(1) } else { 0 };
        let free = allowed.saturating_sub(self.others(now)).max(least);
        free.saturating_add(self.hanging())
    }

    /// Returns the next instant at which [`Self::limit`] may rise without a further event; `None`
    /// if it won't.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let next_start = match self.start {
            StartPhase::Unknown(Some(_)) => Some(now + Self::START_INTERVAL),
            StartPhase::Unknown(None) | StartPhase::Known => None,
        };
        let next_other = self.others.iter().map(|other| other.until).filter(|until| *until > now);
        next_other.chain(next_start).min()
    }

    /// Returns the number of calls that hang and still hold a slot of the queue's count.
    pub fn hanging(&self) -> u32 {
        let hanging = self.calls.values().filter(|call| call.state == CallState::Hanging);
        u32::try_from(hanging.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of calls at the server that hold no slot of this node.
    pub fn others(&self, now: Instant) -> u32 {
        let others = self.others.iter().filter(|other| other.until > now);
        u32::try_from(others.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of calls that are at the server by this node's count.
    pub fn counted(&self, now: Instant) -> u32 {
        let own = u32::try_from(self.calls.len()).unwrap_or(u32::MAX);
        own.saturating_sub(self.hanging()).saturating_add(self.others(now))
    }

    /// Returns the load that the server reported with its last response; `None` if it reports none.
    pub const fn told(&self) -> Option<ServerLoad> {
        self.told
    }

    /// Returns the number of calls that were found hanging so far.
    pub const fn hanging_calls(&self) -> u64 {
        self.hanging_calls
    }

    /// Returns whether the server reports its service time. The calls of closed connections count
    /// only there: most other servers drop a call when its connection closes.
    fn reports_service_time(&self) -> bool {
        self.told.is_some_and(|load| load.service_time.is_some())
    }

    /// Learns from an answer whether the server counts the call that it answers.
    fn learn_answered_call(&mut self, now: Instant, load: ServerLoad) {
        let is_past = |at: Instant| at + Self::MAX_EARLIER_TIME <= now;
        let is_alone = self.calls.len() == 1
            && self.others(now) == 0
            && self.start == StartPhase::Known
            && self.abandoned_at.is_none_or(is_past);
        match load.calls() {
            0 => self.answered_call = AnsweredCall::Omitted,
            1 if is_alone && self.answered_call == AnsweredCall::Unknown => {
                self.answered_call = AnsweredCall::Counted;
            }
            _ => {}
        }
    }

    /// Returns how many calls may hold slots before the first response.
    fn start_limit(now: Instant, first_at: Option<Instant>, slots: u32) -> u32 {
        let Some(first_at) = first_at else { return 1 };
        let intervals = now.since(first_at).get() / (Self::START_INTERVAL.get() * 1_000);
        let started = u32::try_from(intervals).unwrap_or(u32::MAX).saturating_add(1);
        started.min(slots.div_ceil(2))
    }

    /// Corrects the other calls by the number of calls that the server counts, which is from
    /// `least` to `most` without the answered call. Their number can only fall: no one else sends
    /// calls to the server.
    fn update_others(&mut self, now: Instant, least: u32, most: u32, is_first: bool) {
        let is_counted = |sent_at: Instant| sent_at + Self::COUNTING_DELAY <= now;
        let own = self.calls.values().filter(|call| {
            let is_running = matches!(call.state, CallState::Running | CallState::LeftOut(_));
            is_running && call.sent_at.is_some_and(is_counted)
        });
        let own = own.count();
        self.others.retain(|other| other.until > now);
        self.others.sort_by_key(|other| other.until);
        let is_abandoned = |other: &OtherCall| !other.is_earlier && is_counted(other.sent_at);
        let abandoned = self.others.iter().filter(|other| is_abandoned(other)).count();
        let kept = abandoned.min((most as usize).saturating_sub(own));
        keep_last(&mut self.others, kept, is_abandoned);
        let earlier = (least as usize).saturating_sub(own + kept);
        if is_first {
            let until = now + Self::MAX_EARLIER_TIME;
            let call = OtherCall { sent_at: Instant::new(0), until, is_earlier: true };
            self.others.extend(std::iter::repeat_n(call, earlier));
        } else {
            keep_last(&mut self.others, earlier, |other| other.is_earlier);
        }
    }

    /// Finds the calls that the server leaves out in a response to a call sent at `sent_at`. If it
    /// counts some of the calls sent before that one, the oldest are taken to be left out.
    fn find_hanging(&mut self, now: Instant, sent_at: Instant, counted: u32) -> Vec<SentCall> {
        let is_before = |call: &OwnCall| {
            let before = call.sent_at.is_some_and(|at| at + Self::COUNTING_DELAY <= sent_at);
            before && matches!(call.state, CallState::Running | CallState::LeftOut(_))
        };
        let before = self.calls.values().filter(|call| is_before(call)).count();
        let mut left_out = before.saturating_sub(counted as usize);
        let mut found = Vec::new();
        for (id, call) in &mut self.calls {
            match call.state {
                CallState::Running | CallState::LeftOut(_) if left_out == 0 => {
                    call.state = CallState::Running;
                }
                CallState::Running if is_before(call) => {
                    call.state = CallState::LeftOut(now);
                    left_out -= 1;
                }
                CallState::LeftOut(since) if is_before(call) => {
                    left_out -= 1;
                    if sent_at > since {
                        call.state = CallState::Hanging;
                        found.push(*id);
                    }
                }
                _ => {}
            }
        }
        self.hanging_calls += found.len() as u64;
        found
    }
}

/// Keeps the last `count` of the calls that match, and all that don't.
fn keep_last(calls: &mut Vec<OtherCall>, count: usize, matches: impl Fn(&OtherCall) -> bool) {
    let mut excess = calls.iter().filter(|call| matches(call)).count().saturating_sub(count);
    calls.retain(|call| {
        let is_dropped = excess > 0 && matches(call);
        excess -= usize::from(is_dropped);
        !is_dropped
    });
}
