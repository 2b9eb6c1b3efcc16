//! Malformed responses of servers reach no client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use crate::harness::*;
use crate::{no_origin, pair, quiet};

/// Two caches and an origin that gives nothing.
fn trio(caches: [SocketAddr; 2], origin: SocketAddr) -> String {
    let entries = [
        entry("s-1", caches[0], "std", "active"),
        entry("s-2", caches[1], "std", "active"),
        entry("o-1", origin, "origin", "active"),
    ];
    listing(5, true, &entries)
}

#[test]
fn a_spoilt_answer_of_a_cache_server_is_passed_on_to_nobody_and_its_connection_is_used_no_more() {
    let shapes: [&[u8]; 16] = [
        b"*2\r\n$3\r\nbad\r\n$3\r\nhit\r\n",
        b"*4\r\n$3\r\nbad\r\n$3\r\nhit\r\n$-1\r\n$-1\r\n",
        b"*1\r\n$3\r\nbad\r\n",
        b"*3\r\n$3\r\nbad\r\n:5\r\n$-1\r\n",
        b"*3\r\n$3\r\nbad\r\n$-1\r\n*0\r\n",
        b"*3\r\n$3\r\nbad\r\n+hit\r\n$-1\r\n",
        b"*3\r\n$4\r\nabcdefgh\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$-7\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$3000000000\r\nbad",
        b"*1000000000\r\n",
        b"*0\r\n",
        b"$3\r\nbad\r\n",
        b"+OK\r\n",
        b"-\xff\xfe\r\n",
        b"-WHAT is this\r\n",
        b"*3\r\n$100\r\nbad and then nothing",
    ];
    let turn = Arc::new(Mutex::new(0));
    let mut done = false; // Of each connection its own.
    let act = move |words: &[String]| {
        if done {
            return Act::Say(hit("used again"));
        }
        let mut turn = turn.lock().unwrap();
        *turn += 1;
        let spoilt = *turn % 2 == 1;
        done = spoilt;
        Act::Say(if spoilt { shapes[*turn / 2].to_vec() } else { hit(&words[2]) })
    };
    let caches = [cache(act.clone()), cache(act)];
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &trio([caches[0].address, caches[1].address], origin.address));
    let mut client = node.client();
    for (id, shape) in shapes.iter().enumerate() {
        let id = format!("{id:x}");
        let answer = client.ask(&get("aa", &id)).unwrap();
        assert_eq!(answer, id, "on another connection, after {:?}", String::from_utf8_lossy(shape));
    }
    let asked = caches.iter().flat_map(|cache| cache.seen.try_iter()).filter(|seen| !seen.words.is_empty());
    assert!(asked.count() >= 2 * shapes.len());
}

#[test]
fn a_spoilt_answer_of_the_origin_is_passed_on_to_nobody_and_may_have_run() {
    let shapes: [&str; 9] = [
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nbad",
        "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nbad",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
        "HTTP/1.1 2x0 OK\r\nContent-Length: 3\r\n\r\nbad",
        "HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
        &("HTTP/1.1 100 Continue\r\n\r\n".repeat(5000) + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"),
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbad",
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbad and then nothing",
    ];
    let shapes: Vec<_> = shapes.iter().map(|shape| shape.as_bytes().to_vec()).collect();
    let all = shapes.clone();
    let cache = cache(|_| Act::Say(miss()));
    let origin =
        origin(move |words| match words[0].split('/').nth(1).and_then(|key| key.split(' ').next()) {
            Some(key) if key.starts_with('b') => Act::Say(all[key[1..].parse::<usize>().unwrap()].clone()),
            _ => Act::Say([b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), good()].concat()),
        });
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    for (at, shape) in shapes.iter().enumerate() {
        let id = at.to_string();
        let answer = client.ask(&put(&format!("b{at}"), &id, "v")).unwrap();
        assert_eq!(answer, "-ERR failed", "after {:?}", String::from_utf8_lossy(shape));
        assert!(origin.next().words[0].contains(&format!("/b{at} ")), "and it was not sent again");
    }
    assert_eq!(client.ask(&put("good", "20", "v")).unwrap(), "made", "an interim answer ahead does no harm");
}

/// A good answer of the origin.
fn good() -> Vec<u8> {
    http(200, "X-Backend-Load: ,inflight=NaN,=what\r\n", "made")
}

#[test]
fn what_comes_a_moment_behind_a_good_answer_is_no_answer_to_the_next_request() {
    let cache = cache(|words| Act::SayMore(hit(&words[2]), hit(&words[2])));
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    for id in 0..40 {
        let id = id.to_string();
        assert_eq!(client.ask(&get("aa", &id)).unwrap(), id, "its own answer");
    }
}
