//! A whole request body with its memory reservation.

use bytes::Bytes;

use crate::fleet::http1::body_reservation::BodyReservation;

/// A whole request body with the memory that is reserved for it.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    /// Kept until the request is answered.
    pub(crate) reservation: BodyReservation,
}
