//! A disk in memory that may lose unsynced data when it crashes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use currantgate_control::Disk;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

type Inode = usize;

#[derive(Clone, Debug, Default)]
struct File {
    synced: Vec<u8>,
    bytes: Vec<u8>,
}

#[derive(Debug)]
struct State {
    files: Vec<File>,
    names: BTreeMap<String, Inode>,
    synced_names: BTreeMap<String, Inode>,
    rng: ChaCha8Rng,
    operations: usize,
    /// The number of the operation during which the machine crashes.
    crash_at: Option<usize>,
    down: bool,
}

/// A disk in memory; clones are handles to the same disk.
#[derive(Clone, Debug)]
pub struct FakeDisk(Rc<RefCell<State>>);

impl FakeDisk {
    pub fn new(seed: u64) -> Self {
        Self(Rc::new(RefCell::new(State {
            files: Vec::new(),
            names: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            operations: 0,
            crash_at: None,
            down: false,
        })))
    }

    /// Returns the number of operations so far, other than reads.
    pub fn operations(&self) -> usize {
        self.0.borrow().operations
    }

    /// Crashes the machine during operation `n`.
    pub fn crash_at(&self, n: usize) {
        self.0.borrow_mut().crash_at = Some(n);
    }

    /// Cancels [`FakeDisk::crash_at`].
    pub fn cancel_crash(&self) {
        self.0.borrow_mut().crash_at = None;
    }

    /// Loses some or all of the unsynced data, and makes the disk available again.
    pub fn restart(&self) {
        let state = &mut *self.0.borrow_mut();
        state.crash_at = None;
        state.down = false;
        // Unsynced names are either all lost or all kept, at random.
        if state.rng.random() {
            state.names = state.synced_names.clone();
        }
        state.synced_names = state.names.clone();
        for file in &mut state.files {
            file.bytes = tear(file, &mut state.rng);
            file.synced = file.bytes.clone();
        }
    }

    /// Changes one bit of a file's synced bytes.
    pub fn flip_bit(&self, name: &str, offset: usize) {
        let state = &mut *self.0.borrow_mut();
        let inode = state.names[name];
        state.files[inode].bytes[offset] ^= 1;
        state.files[inode].synced = state.files[inode].bytes.clone();
    }

    pub fn len(&self, name: &str) -> usize {
        let state = self.0.borrow();
        state.files[state.names[name]].bytes.len()
    }

    fn begin(&self) -> (std::cell::RefMut<'_, State>, bool) {
        let mut state = self.0.borrow_mut();
        let crashes = state.crash_at == Some(state.operations) || state.down;
        state.operations += 1;
        (state, crashes)
    }
}

/// Returns the contents of a file after a crash: the synced bytes and a part of
/// the unsynced ones, whose end may be zeros.
fn tear(file: &File, rng: &mut ChaCha8Rng) -> Vec<u8> {
    let Some(rest) = file.bytes.strip_prefix(&file.synced[..]) else {
        return if rng.random() {
            file.bytes.clone()
        } else {
            file.synced.clone()
        };
    };
    let kept = rng.random_range(0..=rest.len());
    let mut bytes = file.synced.clone();
    bytes.extend_from_slice(&rest[..kept]);
    if kept > 0 && rng.random() {
        let zeros = rng.random_range(0..=kept);
        let from = bytes.len() - zeros;
        bytes[from..].fill(0);
    }
    bytes
}

fn crashed(state: &mut State) -> io::Error {
    state.down = true;
    io::Error::other("the machine crashed")
}

impl Disk for FakeDisk {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let state = self.0.borrow();
        Ok(state.names.get(name).map(|i| state.files[*i].bytes.clone()))
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let (mut state, crashes) = self.begin();
        if state.down {
            return Err(crashed(&mut state));
        }
        let file = File {
            bytes: bytes.to_vec(),
            ..File::default()
        };
        state.files.push(file);
        let inode = state.files.len() - 1;
        state.names.insert(name.to_owned(), inode);
        if crashes {
            Err(crashed(&mut state))
        } else {
            Ok(())
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let (mut state, crashes) = self.begin();
        if state.down {
            return Err(crashed(&mut state));
        }
        let inode = state.names[name];
        state.files[inode].bytes.extend_from_slice(bytes);
        if crashes {
            Err(crashed(&mut state))
        } else {
            Ok(())
        }
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let (mut state, crashes) = self.begin();
        if state.down {
            return Err(crashed(&mut state));
        }
        let inode = state.names[name];
        state.files[inode].bytes.truncate(len as usize);
        if crashes {
            Err(crashed(&mut state))
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let (mut state, crashes) = self.begin();
        if crashes {
            return Err(crashed(&mut state));
        }
        let inode = state.names[name];
        state.files[inode].synced = state.files[inode].bytes.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let (mut state, crashes) = self.begin();
        if state.down {
            return Err(crashed(&mut state));
        }
        let inode = state.names.remove(from).expect("the file exists");
        state.names.insert(to.to_owned(), inode);
        if crashes {
            Err(crashed(&mut state))
        } else {
            Ok(())
        }
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let (mut state, crashes) = self.begin();
        if crashes {
            return Err(crashed(&mut state));
        }
        state.synced_names = state.names.clone();
        Ok(())
    }
}
