//! Encoding of the values of rows.

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, it| word << 8 | u32::from(*it));
        let word = word << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let is_used = at <= chunk.len();
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize];
            text.push(if is_used { digit as char } else { '=' });
        }
    }
    text
}
