//! Bodies that are held as a whole, and how they are collected.

use super::ReadError;
use crate::transport::held_bytes::{HeldBytes, SharedBudget};
use bytes::{Bytes, BytesMut};
use std::{collections::VecDeque, rc::Rc};

/// Size in bytes of the blocks that hold a body. Blocks of one size leave no gaps that are too small for the next body.
const BLOCK_BYTES: usize = 64 * 1024;

/// A complete body. Clones share the bytes.
#[derive(Clone, Default)]
pub struct HeldBody {
    blocks: Rc<[Bytes]>,
    length: usize,
    /// Counts the bytes in the memory budget.
    _held: Option<Rc<HeldBytes>>,
}

impl HeldBody {
    /// A body of the node itself, which is not counted in its memory budget.
    #[must_use]
    pub fn uncounted(bytes: Bytes) -> Self {
        let length = bytes.len();
        let blocks = if bytes.is_empty() {
            vec![]
        } else {
            vec![bytes]
        };
        Self {
            blocks: blocks.into(),
            length,
            _held: None,
        }
    }

    /// The blocks of the body.
    #[must_use]
    pub fn blocks(&self) -> &[Bytes] {
        &self.blocks
    }

    /// Length in bytes.
    #[must_use]
    pub const fn length(&self) -> usize {
        self.length
    }

    /// The body in one piece. Copies it if it has several blocks.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        match &*self.blocks {
            [] => Bytes::new(),
            [block] => block.clone(),
            blocks => blocks.concat().into(),
        }
    }
}

/// Collects a body in blocks, within the memory budget.
pub struct BodyCollector {
    blocks: Vec<Bytes>,
    last: BytesMut,
    length: usize,
    held: HeldBytes,
    declared: Option<usize>,
}

impl BodyCollector {
    /// Begins to collect a body. `declared` is its length if that is known.
    ///
    /// # Errors
    /// [`ReadError::MemoryFull`] if it doesn't fit.
    pub fn begin(budget: &SharedBudget, declared: Option<usize>) -> Result<Self, ReadError> {
        let held = budget.try_hold_request(declared);
        Ok(Self {
            blocks: Vec::new(),
            last: BytesMut::new(),
            length: 0,
            held: held.ok_or(ReadError::MemoryFull)?,
            declared,
        })
    }

    /// Begins to collect an answer, which is forwarded if it doesn't fit.
    #[must_use]
    pub fn begin_answer(budget: &SharedBudget, declared: Option<usize>) -> Self {
        Self {
            blocks: Vec::new(),
            last: BytesMut::new(),
            length: 0,
            held: budget.hold_answer(),
            declared,
        }
    }

    /// Number of bytes collected.
    #[must_use]
    pub const fn length(&self) -> usize {
        self.length
    }

    /// Reserves the memory for `count` more bytes.
    ///
    /// # Errors
    /// [`ReadError::MemoryFull`] if they don't fit.
    pub fn reserve(&mut self, count: usize) -> Result<(), ReadError> {
        if self.held.try_cover(self.length + count) {
            Ok(())
        } else {
            Err(ReadError::MemoryFull)
        }
    }

    /// Adds bytes for which memory is reserved. They are copied: a frame may keep the whole buffer of its connection in memory.
    pub fn push(&mut self, mut data: Bytes) {
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.begin_block(data.len());
            }
            let room = self.last.capacity() - self.last.len();
            let part = data.split_to(room.min(data.len()));
            self.last.extend_from_slice(&part);
            self.length += part.len();
        }
    }

    fn begin_block(&mut self, wanted: usize) {
        let full = std::mem::take(&mut self.last);
        if !full.is_empty() {
            self.blocks.push(full.freeze());
        }
        let missing = self
            .declared
            .map_or(wanted, |length| length.saturating_sub(self.length));
        self.last = BytesMut::with_capacity(missing.clamp(1, BLOCK_BYTES));
    }

    /// The length that the body announced; `None` if it announced none.
    #[must_use]
    pub const fn declared(&self) -> Option<usize> {
        self.declared
    }

    /// The blocks collected so far, with the memory that is reserved for them.
    #[must_use]
    pub fn into_blocks(mut self) -> (VecDeque<Bytes>, HeldBytes) {
        if !self.last.is_empty() {
            self.blocks.push(self.last.freeze());
        }
        (self.blocks.into(), self.held)
    }

    /// The body as collected.
    #[must_use]
    pub fn finish(mut self) -> HeldBody {
        if !self.last.is_empty() {
            self.blocks.push(self.last.freeze());
        }
        HeldBody {
            blocks: self.blocks.into(),
            length: self.length,
            _held: (self.length > 0).then(|| Rc::new(self.held)),
        }
    }
}
