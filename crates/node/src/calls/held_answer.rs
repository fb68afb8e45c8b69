//! Bodies of answers that are kept in memory.

use bytes::Bytes;

use crate::calls::answer_reservation::AnswerReservation;

/// A whole body with the memory that is reserved for it until the last reader drops it.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    bytes: Bytes,
    _reservation: AnswerReservation,
}

impl HeldAnswer {
    /// Returns `bytes` as a body that gives `reservation` back when it is dropped, which may be long
    /// after it was read: a slow caller takes it in small pieces.
    pub(crate) fn into_bytes(bytes: Bytes, reservation: AnswerReservation) -> Bytes {
        if reservation.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Self { bytes, _reservation: reservation })
    }
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
