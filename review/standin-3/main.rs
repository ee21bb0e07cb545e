//! Stand-ins of the platform's store and of its workers, and the scripts of the cases.
//!
//! `standin case NAME FOLDER` runs a case; `standin worker ...` is one worker, which a case starts.

mod cases;
mod http;
mod json;
mod plant;
mod store;
mod worker;

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0u32, |bits, b| bits << 8 | u32::from(*b)) << (8 * (3 - group.len()));
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= group.len() { digit } else { '=' });
        }
    }
    out
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("worker") => worker::run(&args[1..]),
        Some("case") if args.len() == 3 => std::process::exit(cases::run(&args[1], &args[2])),
        _ => {
            eprintln!("Usage: standin case NAME FOLDER");
            std::process::exit(2);
        }
    }
}
