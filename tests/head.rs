//! What counts as the head of a response.

use bytes::BytesMut;
use pumicelatch::exchange::head::{Fault, Head, check, remove_upgrade};
use quickcheck::quickcheck;

/// Whether a byte may stand in the name of a header (a `tchar` of RFC 9110).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// The name of a header was taken although it held a blank, a control byte or nothing.
#[test]
fn only_tokens_are_names() {
    fn property(mut name: Vec<u8>, blanks: u8) -> bool {
        name.retain(|byte| !b":\r\n".contains(byte));
        let blank = if blanks.is_multiple_of(2) {
            b' '
        } else {
            b'\t'
        };
        name.extend(vec![blank; usize::from(blanks / 2 % 3)]);
        let head = [b"HTTP/1.1 200 OK\r\n", &*name, b": a\r\n\r\n"].concat();
        let valid = !name.is_empty() && name.iter().copied().all(is_token);
        check(&head).is_ok() == valid
    }
    quickcheck(property as fn(Vec<u8>, u8) -> bool);
    assert!((0..=u8::MAX).all(|byte| b":\r\n".contains(&byte) || property(vec![byte], 0)));
}

/// A status outside the range of the protocol was taken.
#[test]
fn status_codes_are_100_to_599() {
    for code in 0..=999 {
        let head = format!("HTTP/1.1 {code:03} X\r\n\r\n");
        let valid = (100..=599).contains(&code);
        assert_eq!(check(head.as_bytes()).is_ok(), valid, "{code:03}");
    }
}

/// A head whose body ends in two places, or in none that is known, was taken.
#[test]
fn framing_of_a_body_is_unambiguous() {
    let heads = [
        ("1.1 200", "Content-Length: 5", Ok(())),
        ("1.1 200", "transfer-encoding: Chunked", Ok(())),
        ("1.1 200", "X: 5", Ok(())),
        ("1.0 200", "Content-Length: 5", Ok(())),
        ("1.1 304", "Content-Length: 5", Ok(())),
        ("1.1 204", "Content-Length: 0", Ok(())),
        ("1.1 204", "X: 5", Ok(())),
        ("1.1 103", "X: 5", Ok(())),
        ("1.1 200", "Transfer-Encoding: identity", Err(Fault::Coding)),
        (
            "1.1 200",
            "Transfer-Encoding: gzip, chunked",
            Err(Fault::Coding),
        ),
        (
            "1.1 200",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            Err(Fault::Coding),
        ),
        ("1.0 200", "Transfer-Encoding: chunked", Err(Fault::Coding)),
        (
            "1.1 200",
            "Transfer-Encoding: chunked\r\nContent-Length: 5",
            Err(Fault::Framing),
        ),
        (
            "1.1 200",
            "Content-Length: 5\r\nTransfer-Encoding: identity",
            Err(Fault::Framing),
        ),
        ("1.1 204", "Content-Length: 5", Err(Fault::Framing)),
        ("1.1 204", "Transfer-Encoding: chunked", Err(Fault::Framing)),
        ("1.1 103", "Content-Length: 5", Err(Fault::Framing)),
    ];
    for (status, headers, expected) in heads {
        let head = format!("HTTP/{status} X\r\n{headers}\r\n\r\n");
        let checked = check(head.as_bytes()).map(|_| ());
        assert_eq!(checked, expected, "{head}");
    }
}

/// A head was refused because only a part of it had arrived.
#[test]
fn every_part_of_a_valid_head_is_valid() {
    let head = b"HTTP/1.1 200 OK\r\nX-Field: a b\r\nContent-Length: 5\r\n\r\n";
    for length in 0..=head.len() {
        assert_eq!(
            check(&head[..length]),
            Ok(Head::default()),
            "{length} bytes"
        );
    }
}

/// Bytes besides the offer were lost with it, or one of several offers was left.
#[test]
fn only_offers_of_an_upgrade_are_removed() {
    const OFFERS: [&str; 3] = ["Upgrade: websocket\r\n", "upgrade:a\n", "UPGRADE: \r\n"];
    for status in ["HTTP/1.1 200 OK\r\n", "HTTP/1.1 103\n"] {
        let offers = OFFERS.concat();
        let fields = "X-Upgrade: a\r\nX: Upgrade: b\r\n";
        let rest = "\r\nUpgrade: in the body\r\n\r\nUpgrade: b";
        let head = format!("{status}{offers}{fields}{offers}{rest}");
        assert_eq!(
            check(head.as_bytes()),
            Ok(Head {
                offers_upgrade: true
            })
        );
        let mut bytes = BytesMut::from(head.as_bytes());
        remove_upgrade(&mut bytes);
        let expected = format!("{status}{fields}{rest}");
        assert_eq!(bytes, expected);
        assert_eq!(check(&bytes), Ok(Head::default()));
    }
}
