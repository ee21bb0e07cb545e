//! Stand-ins and cases of the review: a store, workers and clients on loopback addresses, and the
//! project's daemons as separate processes. Uses the standard library only.
//!
//! `standin CASE DIR` runs a case, writes `DIR/record.txt`, and exits with 1 if the rule was broken,
//! with 0 if it held, and with 2 if the case could not run.

mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod store;
mod worker;

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// The longest time that a case may take.
const LIMIT: std::time::Duration = std::time::Duration::from_secs(110);

/// Encodes bytes as base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for n in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * n) & 63) as usize];
            out.push(if n <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(dir)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE DIR");
        std::process::exit(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        deployment::end_all();
        eprintln!("the case could not run: it takes longer than {LIMIT:?}");
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = || cases::run(&case, std::path::Path::new(&dir), has_trouble);
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let outcome = outcome.unwrap_or_else(|_| Err("the stand-in has panicked".into()));
    deployment::end_all();
    let code = match outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    };
    std::process::exit(code);
}
