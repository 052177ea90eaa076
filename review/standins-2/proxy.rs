//! Proxy between a daemon and the store, which can fall silent: bytes are then held up, and connections
//! stay open, as with a partition.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

pub struct Proxy {
    pub addr: SocketAddr,
    pub silent: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(ip: &str, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let addr = listener.local_addr()?;
        let silent = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&silent);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let silent = Arc::clone(&shared);
                std::thread::spawn(move || {
                    let Ok(server) = TcpStream::connect(target) else {
                        return;
                    };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else {
                        return;
                    };
                    let back = Arc::clone(&silent);
                    std::thread::spawn(move || copy(from, to, &silent));
                    copy(server, client, &back);
                });
            }
        });
        Ok(Self { addr, silent })
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buffer = vec![0; 1 << 16];
    while let Ok(n @ 1..) = from.read(&mut buffer) {
        while silent.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5));
        }
        if to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
