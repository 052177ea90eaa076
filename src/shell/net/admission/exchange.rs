//! Life cycle of one request on an admitted connection.

use std::cell::Cell;
use std::rc::Rc;

use super::Handle;
use super::Result;

/// Memory of a request itself, without its body, in bytes.
const REQUEST_BYTES: usize = 8 << 10;

/// A request from its head to the end of its answer, in one phase.
pub(in crate::shell::net) struct Exchange<P> {
    _phase: P,
    held: Rc<Held>,
    // Dropped last, when nothing is held any more.
    open: Open,
}

/// The daemon works on the request, or receives its body.
pub(in crate::shell::net) struct Working {
    _in_work: InWork,
}

/// The answer is being sent.
pub(in crate::shell::net) struct Answering;

/// Counts a request while it is not answered, and ranks its connection afterwards.
struct Open(Handle);

/// Keeps the connection from being closed.
struct InWork(Handle);

/// Bytes held for one request, counted until it is dropped.
pub(in crate::shell::net) struct Held {
    handle: Handle,
    bytes: Cell<usize>,
}

/// Lets a connection be closed while a body is received.
pub(in crate::shell::net) struct Receiving<'a>(&'a Handle);

impl Exchange<Working> {
    /// Begins an exchange when the head of its request has been received.
    pub fn begin(handle: &Handle) -> Self {
        let Handle { admission, conn } = handle;
        conn.head_since.set(None);
        admission.release(conn, conn.head_bytes.take());
        let open = Open::new(handle);
        let in_work = InWork::new(handle);
        let held = Held {
            handle: handle.clone(),
            bytes: Cell::new(0),
        };
        // If there is no room for it, its connection is closed.
        let _ = held.add(REQUEST_BYTES);
        Self {
            _phase: Working { _in_work: in_work },
            held: Rc::new(held),
            open,
        }
    }

    /// Returns the account of what is held for the request.
    pub fn held(&self) -> Rc<Held> {
        Rc::clone(&self.held)
    }

    /// Moves on to an answer of this size, which replaces what was held for the request.
    pub fn answer(self, bytes: usize) -> Exchange<Answering> {
        self.held.replace(bytes);
        Exchange {
            _phase: Answering,
            held: self.held,
            open: self.open,
        }
    }
}

impl Held {
    /// Counts more bytes. Fails if there is no room for them; the connection is then closed.
    pub fn add(&self, bytes: usize) -> Result<()> {
        self.bytes.set(self.bytes.get() + bytes);
        let Handle { admission, conn } = &self.handle;
        admission.hold(conn, bytes)
    }

    /// Lets the connection be closed for as long as the result exists.
    pub fn receive(&self) -> Receiving<'_> {
        let in_work = &self.handle.conn.in_work;
        in_work.set(in_work.get() - 1);
        Receiving(&self.handle)
    }

    /// Returns the maximum size of a body, in bytes. A body that has been received is held twice while it is
    /// put together.
    pub fn max_body_bytes(&self) -> usize {
        let admission = &self.handle.admission;
        let limit = admission.limits().body_bytes;
        limit.min(admission.bounds.held_bytes / 2)
    }

    fn replace(&self, bytes: usize) {
        let Handle { admission, conn } = &self.handle;
        admission.release(conn, self.bytes.replace(bytes));
        admission.hold_answer(conn, bytes);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let Handle { admission, conn } = &self.handle;
        admission.release(conn, self.bytes.get());
    }
}

impl Open {
    fn new(handle: &Handle) -> Self {
        let Handle { admission, conn } = handle;
        conn.requests.set(conn.requests.get() + 1);
        if conn.is_closed.get() {
            admission.orphans.set(admission.orphans.get() + 1);
        }
        Self(handle.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let Handle { admission, conn } = &self.0;
        conn.requests.set(conn.requests.get() - 1);
        if conn.is_closed.get() {
            admission.orphans.set(admission.orphans.get() - 1);
        } else {
            admission.promote(conn);
        }
    }
}

impl InWork {
    fn new(handle: &Handle) -> Self {
        let in_work = &handle.conn.in_work;
        in_work.set(in_work.get() + 1);
        Self(handle.clone())
    }
}

impl Drop for InWork {
    fn drop(&mut self) {
        let in_work = &self.0.conn.in_work;
        in_work.set(in_work.get() - 1);
    }
}

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        let in_work = &self.0.conn.in_work;
        in_work.set(in_work.get() + 1);
    }
}
