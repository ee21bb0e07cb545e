//! The memory of the request bodies of one process.

use std::{collections, ops, sync};

use ntex::util;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// The size of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The memory for all bodies, in bytes. A body that is alone may be larger.
    pub limit: usize,
    /// The part of it that is kept for small bodies, in bytes.
    pub reserve: usize,
    /// The largest body that counts as small, in bytes.
    pub small: usize,
}

impl Settings {
    /// Returns a budget of `limit` bytes, an eighth of which is kept for small bodies.
    pub const fn with_limit(limit: usize) -> Self {
        Self { limit, reserve: limit / RESERVE_SHARE, small: SMALL_BODY_BYTES }
    }

    /// Returns the memory that may be in use after something of `bytes` bytes is added to it.
    const fn ceiling(&self, bytes: usize) -> usize {
        if bytes <= self.small { self.limit } else { self.limit - self.reserve }
    }

    /// Returns whether something of `bytes` bytes may be added, so that `used` are in use then.
    pub const fn fits(&self, bytes: usize, used: usize) -> bool {
        used <= self.ceiling(bytes)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::with_limit(DEFAULT_LIMIT)
    }
}

/// The default limit, in bytes: a sixteenth of a VM with 160 MB.
const DEFAULT_LIMIT: usize = 10 << 20;
/// The part of the limit that is kept for small bodies, as a divisor.
const RESERVE_SHARE: usize = 8;
/// The largest body that counts as small, in bytes.
const SMALL_BODY_BYTES: usize = 8 << 10;

/// The body was given up, as the memory was short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many request bodies are arriving at the same time")]
pub struct Evicted;

/// The bodies that are being read, and the memory of those that are read but still in use.
///
/// If a body needs more memory than is left, the oldest of the other bodies are given up: those of
/// clients that send without pauses are complete long before they are the oldest. Large bodies are
/// given up before small ones.
#[derive(Debug, Default)]
pub struct Budget {
    settings: Settings,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The memory of all bodies, in bytes.
    used: usize,
    next: u64,
    /// The bodies that are being read, in the order in which they were opened.
    open: collections::BTreeMap<u64, OpenBody>,
    evicted: u64,
}

#[derive(Debug, Default)]
struct OpenBody {
    data: Vec<u8>,
    /// Bytes that are kept elsewhere.
    held: usize,
    eviction: sync::Arc<Notify>,
}

impl OpenBody {
    /// Returns the memory of the body, in bytes.
    const fn size(&self) -> usize {
        self.data.capacity() + self.held
    }
}

impl State {
    /// Gives a body up, and releases its memory at once.
    fn evict(&mut self, number: u64) {
        if let Some(body) = self.open.remove(&number) {
            self.used -= body.size();
            self.evicted += 1;
            body.eviction.notify_one();
        }
    }

    /// Returns the oldest body that may be given up for the body `number`: large ones first, and small
    /// ones only if that body is small too.
    fn victim(&self, number: u64, small: usize, is_small: bool) -> Option<u64> {
        let others = || self.open.iter().filter(|(n, body)| **n != number && body.size() > 0);
        let large = others().find(|(_, body)| body.size() > small);
        let oldest = large.or_else(|| others().next().filter(|_| is_small));
        oldest.map(|(number, _)| *number)
    }
}

impl State {
    /// Gives up bodies until the body `number` may grow by `bytes` bytes.
    ///
    /// # Errors
    ///
    /// If no other body can be given up; then that body is.
    fn make_room(&mut self, settings: Settings, number: u64, bytes: usize) -> Result<(), Evicted> {
        let size = self.open.get(&number).ok_or(Evicted)?.size();
        let is_small = size + bytes <= settings.small;
        while !settings.fits(size + bytes, self.used + bytes) && self.used > size {
            match self.victim(number, settings.small, is_small) {
                Some(victim) => self.evict(victim),
                None => {
                    self.evict(number);
                    return Err(Evicted);
                }
            }
        }
        Ok(())
    }
}

impl Budget {
    /// Creates a budget without bodies.
    pub fn new(settings: Settings) -> Self {
        Self { settings, state: Mutex::default() }
    }

    /// Opens an empty body.
    pub fn open(self: &sync::Arc<Self>) -> Body {
        let eviction = sync::Arc::<Notify>::default();
        let mut state = self.state.lock();
        let number = state.next;
        state.next += 1;
        let body = OpenBody { eviction: sync::Arc::clone(&eviction), ..OpenBody::default() };
        state.open.insert(number, body);
        Body { budget: sync::Arc::clone(self), number, eviction }
    }

    /// Returns the memory of all bodies, in bytes.
    pub fn used(&self) -> usize {
        self.state.lock().used
    }

    /// Returns the number of bodies that were given up.
    pub fn evicted(&self) -> u64 {
        self.state.lock().evicted
    }
}

/// A body that is being read. It is discarded when it is dropped.
#[derive(Debug)]
pub struct Body {
    budget: sync::Arc<Budget>,
    number: u64,
    eviction: sync::Arc<Notify>,
}

impl Body {
    /// Appends a part of the body, which is expected to have `expected` bytes in all.
    ///
    /// # Errors
    ///
    /// If the body was given up, or is given up now as no other body can be.
    pub fn push(&self, part: &[u8], expected: usize) -> Result<(), Evicted> {
        let settings = self.budget.settings;
        let mut state = self.budget.state.lock();
        let body = state.open.get(&self.number).ok_or(Evicted)?;
        let (length, capacity) = (body.data.len() + part.len(), body.data.capacity());
        let wanted =
            if length > capacity { (2 * capacity).min(expected).max(length) } else { capacity };
        state.make_room(settings, self.number, wanted - capacity)?;
        let body = state.open.get_mut(&self.number).ok_or(Evicted)?;
        body.data.reserve_exact(wanted - body.data.len());
        body.data.extend_from_slice(part);
        let grown = body.data.capacity() - capacity;
        state.used += grown;
        Ok(())
    }

    /// Counts bytes of the body that are kept elsewhere.
    ///
    /// # Errors
    ///
    /// As [`Body::push()`] does.
    pub fn hold(&self, bytes: usize) -> Result<(), Evicted> {
        let mut state = self.budget.state.lock();
        state.make_room(self.budget.settings, self.number, bytes)?;
        let body = state.open.get_mut(&self.number).ok_or(Evicted)?;
        body.held += bytes;
        state.used += bytes;
        Ok(())
    }

    /// Ends the count of the bytes that are kept elsewhere. The body counts as the newest from now on.
    pub fn release(&mut self) {
        let mut state = self.budget.state.lock();
        let Some(mut body) = state.open.remove(&self.number) else { return };
        state.used -= std::mem::take(&mut body.held);
        self.number = state.next;
        state.next += 1;
        state.open.insert(self.number, body);
    }

    /// Returns the number of bytes so far.
    pub fn len(&self) -> usize {
        self.budget.state.lock().open.get(&self.number).map_or(0, |body| body.data.len())
    }

    /// Returns whether there are no bytes so far.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until the body is given up.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Returns what is notified when the body is given up.
    pub fn eviction(&self) -> sync::Arc<Notify> {
        sync::Arc::clone(&self.eviction)
    }

    /// Returns the complete body, which cannot be given up any more.
    ///
    /// # Errors
    ///
    /// If the body was given up.
    pub fn finish(self) -> Result<Complete, Evicted> {
        let body = self.budget.state.lock().open.remove(&self.number).ok_or(Evicted)?;
        let charge = Charge { bytes: body.data.capacity(), budget: sync::Arc::clone(&self.budget) };
        Ok(Complete { data: body.data, charge })
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        let mut state = self.budget.state.lock();
        if let Some(body) = state.open.remove(&self.number) {
            state.used -= body.size();
        }
    }
}

/// A complete body, which counts in the budget until it is dropped.
#[derive(Debug)]
pub struct Complete {
    data: Vec<u8>,
    charge: Charge,
}

impl Complete {
    /// Returns the body, and what counts it in the budget until it is dropped.
    pub fn into_parts(self) -> (util::Bytes, Charge) {
        (self.data.into(), self.charge)
    }
}

/// Counts a body in the budget.
#[derive(Debug)]
pub struct Charge {
    bytes: usize,
    budget: sync::Arc<Budget>,
}

impl ops::Deref for Complete {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.state.lock().used -= self.bytes;
    }
}
