//! Limits on the length of an answer's body.

use almondsail_core::units::ByteCount;

use crate::calls::answer_reservation::AnswerReservation;

/// How much of an answer's body is read.
#[derive(Debug)]
pub(crate) enum AnswerLimit {
    /// The body is passed on as it arrives and may have any length. Only framing without data,
    /// such as an endless chunk size, is limited.
    Streamed,
    /// The body is kept in memory, which it takes from the node's budget with all its framing.
    Held {
        /// The memory of the body.
        reservation: AnswerReservation,
        /// The bytes of data since the last step.
        data: usize,
    },
}

impl AnswerLimit {
    /// The number of bytes that may be read in addition each time.
    pub(crate) const STEP: ByteCount = ByteCount::new(32 * 1024);
    /// The bytes of data that a step must yield, so that a body does not consist of framing, which
    /// costs more processor time than data.
    const MIN_DATA: usize = Self::STEP.get() as usize / 4;

    /// Creates the limit of a body that is kept in memory.
    pub(crate) const fn held(reservation: AnswerReservation) -> Self {
        Self::Held { reservation, data: 0 }
    }

    /// Takes the memory of a body that was read to its end; `None` if the body is passed on as it
    /// arrives.
    pub(crate) fn take_reservation(&mut self) -> Option<AnswerReservation> {
        match std::mem::replace(self, Self::Streamed) {
            Self::Streamed => None,
            Self::Held { reservation, .. } => Some(reservation),
        }
    }

    /// Records that `bytes` of data were read. Returns whether a new [`AnswerLimit::STEP`] begins.
    pub(crate) const fn record_data(&mut self, bytes: usize) -> bool {
        match self {
            Self::Streamed => true,
            Self::Held { data, .. } => {
                *data += bytes;
                false
            }
        }
    }

    /// Returns whether a further [`AnswerLimit::STEP`] may be read, now that all bytes of the last
    /// one are used.
    pub(crate) fn begin_step(&mut self) -> bool {
        match self {
            Self::Streamed => false,
            Self::Held { reservation, data } => {
                std::mem::take(data) >= Self::MIN_DATA && reservation.try_grow(Self::STEP)
            }
        }
    }
}
