//! The rollout orders of a service that a node knows.

use std::collections::BTreeSet;

use crate::fleet::RolloutOrder;
use crate::store::StorePosition;

/// What an order means to a node that knows others of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRelation {
    /// The order is the current one, also if it was written again after a restoration.
    Current,
    /// The order came before the current one, also if a restored copy of the store still holds it.
    Superseded,
    /// The order follows the current one.
    New,
}

/// The rollout orders of a service that a node knows: the current one, and those before it.
///
/// A restored store holds orders at positions of a later era: those of the copy with their old
/// revisions, and those that the operator writes again with new ones.
#[derive(Debug)]
pub struct OrderHistory {
    /// The current order, with the earliest position at which it is known.
    current: RolloutOrder,
    /// All positions at which the current order is known.
    positions: BTreeSet<StorePosition>,
    /// The writes of earlier orders, the oldest first.
    superseded: Vec<RolloutOrder>,
}

impl OrderHistory {
    /// The largest number of earlier writes that are remembered. Bounds the memory of a node.
    const MAX_SUPERSEDED: usize = 32;

    /// Creates a history that contains only `order`.
    pub fn new(order: RolloutOrder) -> Self {
        let positions = [order.position].into();
        Self { current: order, positions, superseded: Vec::new() }
    }

    /// Returns the current order, with the earliest position at which it is known.
    pub const fn current(&self) -> &RolloutOrder {
        &self.current
    }

    /// Returns what `order` means beside the known ones.
    pub fn relation(&self, order: &RolloutOrder) -> OrderRelation {
        if self.positions.contains(&order.position) || self.is_written_again(order) {
            OrderRelation::Current
        } else if order.position < self.current.position || self.is_copy_of_superseded(order) {
            OrderRelation::Superseded
        } else {
            OrderRelation::New
        }
    }

    /// Returns whether `order` is the current order.
    pub fn is_current(&self, order: &RolloutOrder) -> bool {
        self.relation(order) == OrderRelation::Current
    }

    /// Records a position at which the current order is stored as well.
    pub fn add_position(&mut self, position: StorePosition) {
        self.positions.insert(position);
        self.current.position = self.current.position.min(position);
    }

    /// Makes `order` the current one.
    pub fn replace(&mut self, order: RolloutOrder) {
        let positions = std::mem::replace(&mut self.positions, [order.position].into());
        let old = std::mem::replace(&mut self.current, order);
        let writes = positions.into_iter().map(|position| RolloutOrder { position, ..old.clone() });
        self.superseded.extend(writes);
        let surplus = self.superseded.len().saturating_sub(Self::MAX_SUPERSEDED);
        self.superseded.drain(..surplus);
    }

    /// Within one era each write is an order of its own.
    fn is_written_again(&self, order: &RolloutOrder) -> bool {
        order.position.era != self.current.position.era
            && order.is_equivalent(&self.current)
            && !self.superseded.iter().any(|known| known.position == order.position)
    }

    /// The items of a restored copy keep their revisions.
    fn is_copy_of_superseded(&self, order: &RolloutOrder) -> bool {
        self.superseded.iter().any(|known| {
            known.position.revision == order.position.revision && known.is_equivalent(order)
        })
    }
}
