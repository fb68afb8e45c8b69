//! Conversions of the datagrams about quotas.

use almondsail_core::ids::{ConfigVersion, QuotaRequestId};
use almondsail_core::quota::{QuotaGrant, QuotaMessage, QuotaRequest, TokenCount};
use almondsail_core::units::Millis;
use prost::Message;

use super::codec::decode;
use super::fields::{counter, parse, required};
use crate::fleet::quota_datagram::Kind;
use crate::{DecodeError, FieldError, MAX_FRAME_BYTES, fleet as wire};

/// The first byte of a datagram about quotas. No heartbeat begins with it, since it would be a
/// field with the number zero.
const QUOTA_MARK: u8 = 0;

/// Returns whether a datagram is about quotas; if not, it is a heartbeat.
pub fn is_quota_datagram(bytes: &[u8]) -> bool {
    bytes.first() == Some(&QUOTA_MARK)
}

/// Encodes a message about quotas as a datagram.
pub fn encode_quota_message(message: &QuotaMessage) -> Vec<u8> {
    let kind = match message {
        QuotaMessage::Request(request) => Kind::Request(request.into()),
        QuotaMessage::Grant(grant) => Kind::Grant(grant.into()),
    };
    let datagram = wire::QuotaDatagram { kind: Some(kind) };
    let mut buf = Vec::with_capacity(1 + datagram.encoded_len());
    buf.push(QUOTA_MARK);
    // A vector grows as needed, so that encoding into it can't fail.
    let _ = datagram.encode(&mut buf);
    buf
}

/// Decodes a datagram about quotas, with its first byte.
pub fn decode_quota_message(bytes: &[u8]) -> Result<QuotaMessage, DecodeError> {
    let body = bytes.get(1..).unwrap_or_default();
    let datagram: wire::QuotaDatagram = decode(body, MAX_FRAME_BYTES)?;
    Ok(match required("kind", datagram.kind)? {
        Kind::Request(request) => QuotaMessage::Request(request.try_into()?),
        Kind::Grant(grant) => QuotaMessage::Grant(grant.try_into()?),
    })
}

impl From<&QuotaRequest> for wire::QuotaRequest {
    fn from(request: &QuotaRequest) -> Self {
        Self {
            id: request.id.get(),
            team: request.team.to_string(),
            wanted: request.wanted.get().into(),
            config_version: request.config_version.get(),
            max_wait_ms: u32::try_from(request.max_wait.get()).unwrap_or(u32::MAX),
        }
    }
}

impl TryFrom<wire::QuotaRequest> for QuotaRequest {
    type Error = FieldError;

    fn try_from(w: wire::QuotaRequest) -> Result<Self, FieldError> {
        let wanted = tokens("wanted", w.wanted)?;
        if wanted == TokenCount::default() {
            return Err(FieldError::new("wanted", "expected a number above zero"));
        }
        Ok(Self {
            id: QuotaRequestId::new(w.id),
            team: parse("team", &w.team)?,
            wanted,
            max_wait: Millis::new(w.max_wait_ms.into()),
            config_version: ConfigVersion::new(counter("config_version", w.config_version)?),
        })
    }
}

impl From<&QuotaGrant> for wire::QuotaGrant {
    fn from(grant: &QuotaGrant) -> Self {
        Self {
            id: grant.id.get(),
            team: grant.team.to_string(),
            granted: grant.granted.get().into(),
            expires_ms: u32::try_from(grant.expires.get()).unwrap_or(u32::MAX),
            retry_after_ms: u32::try_from(grant.retry_after.get()).unwrap_or(u32::MAX),
        }
    }
}

impl TryFrom<wire::QuotaGrant> for QuotaGrant {
    type Error = FieldError;

    fn try_from(w: wire::QuotaGrant) -> Result<Self, FieldError> {
        Ok(Self {
            id: QuotaRequestId::new(w.id),
            team: parse("team", &w.team)?,
            granted: tokens("granted", w.granted)?,
            expires: at_most("expires_ms", w.expires_ms, Self::MAX_LIFETIME)?,
            retry_after: at_most("retry_after_ms", w.retry_after_ms, Self::MAX_RETRY_AFTER)?,
        })
    }
}

fn tokens(field: &str, n: i64) -> Result<TokenCount, FieldError> {
    let max = TokenCount::MAX.get();
    let tokens = u32::try_from(n).ok().filter(|&n| n <= max).map(TokenCount::new);
    tokens.ok_or_else(|| FieldError::new(field, format_args!("expected 0 to {max}")))
}

fn at_most(field: &str, n: u32, max: Millis) -> Result<Millis, FieldError> {
    let time = Millis::new(n.into());
    if time > max {
        return Err(FieldError::new(field, format_args!("expected at most {max}")));
    }
    Ok(time)
}
