//! Conversions of deltas between configurations.

use almondsail_core::config::{Delta, Edit};
use almondsail_core::ids::ConfigVersion;

use super::fields::{convert_each, digest, parse, required, to_wire, write_id};
use crate::config::edit::Edit as WireEdit;
use crate::{FieldError, config as wire};

impl From<&Edit> for wire::Edit {
    fn from(edit: &Edit) -> Self {
        let edit = match edit {
            Edit::PutService(service) => WireEdit::PutService(service.into()),
            Edit::RemoveService(name) => WireEdit::RemoveService(name.to_string()),
            Edit::PutRoute(route) => WireEdit::PutRoute(route.into()),
            Edit::RemoveRoute(name) => WireEdit::RemoveRoute(name.to_string()),
            Edit::PutVersion(version) => WireEdit::PutVersion(version.into()),
            Edit::RemoveVersion(version) => WireEdit::RemoveVersion(version.into()),
            Edit::PutRollout(rollout) => WireEdit::PutRollout(rollout.into()),
            Edit::RemoveRollout(service) => WireEdit::RemoveRollout(service.to_string()),
            Edit::PutStop(stop) => WireEdit::PutStop(stop.into()),
            Edit::RemoveStop(stop) => WireEdit::RemoveStop(stop.into()),
        };
        Self { edit: Some(edit) }
    }
}

impl TryFrom<wire::Edit> for Edit {
    type Error = FieldError;

    fn try_from(w: wire::Edit) -> Result<Self, FieldError> {
        Ok(match required("edit", w.edit)? {
            WireEdit::PutService(service) => Self::PutService(service.try_into()?),
            WireEdit::RemoveService(name) => Self::RemoveService(parse("remove_service", &name)?),
            WireEdit::PutRoute(route) => Self::PutRoute(route.try_into()?),
            WireEdit::RemoveRoute(name) => Self::RemoveRoute(parse("remove_route", &name)?),
            WireEdit::PutVersion(version) => Self::PutVersion(version.try_into()?),
            WireEdit::RemoveVersion(version) => Self::RemoveVersion(version.try_into()?),
            WireEdit::PutRollout(rollout) => Self::PutRollout(rollout.try_into()?),
            WireEdit::RemoveRollout(name) => Self::RemoveRollout(parse("remove_rollout", &name)?),
            WireEdit::PutStop(stop) => Self::PutStop(stop.try_into()?),
            WireEdit::RemoveStop(stop) => Self::RemoveStop(stop.try_into()?),
        })
    }
}

impl From<&Delta> for wire::Delta {
    fn from(delta: &Delta) -> Self {
        Self {
            base: delta.base.as_bytes().to_vec(),
            result: delta.result.as_bytes().to_vec(),
            version: delta.version.get(),
            write_id: delta.write_id.as_bytes().to_vec(),
            edits: to_wire(&delta.edits),
            history: to_wire(&delta.history),
        }
    }
}

impl TryFrom<wire::Delta> for Delta {
    type Error = FieldError;

    fn try_from(w: wire::Delta) -> Result<Self, FieldError> {
        Ok(Self {
            base: digest("base", &w.base)?,
            result: digest("result", &w.result)?,
            version: ConfigVersion::new(w.version),
            write_id: write_id("write_id", &w.write_id)?,
            edits: convert_each("edits", w.edits)?,
            history: convert_each("history", w.history)?,
        })
    }
}
