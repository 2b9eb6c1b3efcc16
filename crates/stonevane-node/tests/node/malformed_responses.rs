//! Malformed responses of servers reach no client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use crate::harness::*;
use crate::{cache_and_origin, failing_origin, quiet_discovery};

/// A whole list of two cache servers and an origin.
fn two_caches_and_origin(caches: [SocketAddr; 2], origin: SocketAddr) -> String {
    let entries = [
        entry("s-1", caches[0], "std", "active"),
        entry("s-2", caches[1], "std", "active"),
        entry("o-1", origin, "origin", "active"),
    ];
    server_list(5, true, &entries)
}

#[test]
fn a_malformed_response_of_a_cache_server_reaches_no_client_and_its_connection_is_not_reused() {
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
    let mut malformed_sent = false; // Each connection has its own copy.
    let act = move |words: &[String]| {
        if malformed_sent {
            return Action::Respond(hit("used again"));
        }
        let mut turn = turn.lock().unwrap();
        *turn += 1;
        let malformed = *turn % 2 == 1;
        malformed_sent = malformed;
        Action::Respond(if malformed { shapes[*turn / 2].to_vec() } else { hit(&words[2]) })
    };
    let caches = [cache(act.clone()), cache(act)];
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(
        discovery,
        &two_caches_and_origin([caches[0].address, caches[1].address], origin.address),
    );
    let mut client = node.client();
    for (id, shape) in shapes.iter().enumerate() {
        let id = format!("{id:x}");
        let answer = client.request(&get("aa", &id)).unwrap();
        assert_eq!(answer, id, "served over another connection after {:?}", String::from_utf8_lossy(shape));
    }
    let requests =
        caches.iter().flat_map(|cache| cache.received.try_iter()).filter(|seen| !seen.words.is_empty());
    assert!(requests.count() >= 2 * shapes.len());
}

#[test]
fn a_malformed_response_of_the_origin_reaches_no_client_and_its_write_is_not_retried() {
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
    let responses = shapes.clone();
    let cache = cache(|_| Action::Respond(miss()));
    let origin =
        origin(move |words| match words[0].split('/').nth(1).and_then(|key| key.split(' ').next()) {
            Some(key) if key.starts_with('b') => {
                Action::Respond(responses[key[1..].parse::<usize>().unwrap()].clone())
            }
            _ => {
                Action::Respond([b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), well_formed_response()].concat())
            }
        });
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    for (at, shape) in shapes.iter().enumerate() {
        let id = at.to_string();
        let answer = client.request(&put(&format!("b{at}"), &id, "v")).unwrap();
        assert_eq!(answer, "-ERR failed", "after {:?}", String::from_utf8_lossy(shape));
        assert!(origin.next_request().words[0].contains(&format!("/b{at} ")), "it was sent only once");
    }
    assert_eq!(
        client.request(&put("good", "20", "v")).unwrap(),
        "made",
        "an interim response before it does no harm"
    );
}

/// A well-formed response of the origin whose load header is malformed. The node must serve the response.
fn well_formed_response() -> Vec<u8> {
    http_response(200, "X-Backend-Load: ,inflight=NaN,=what\r\n", "made")
}

#[test]
fn bytes_that_follow_a_response_do_not_answer_the_next_request() {
    let cache = cache(|words| Action::RespondInTwoWrites(hit(&words[2]), hit(&words[2])));
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    for id in 0..40 {
        let id = id.to_string();
        assert_eq!(client.request(&get("aa", &id)).unwrap(), id, "the response to its own request");
    }
}
