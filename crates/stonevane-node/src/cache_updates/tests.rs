use super::*;

/// Guards against copies for a slow cache that take memory outside the budget: their number was limited, their
/// bytes were not.
#[test]
fn copies_that_wait_for_a_slow_cache_are_counted_in_the_memory_budget() {
    const VALUE_BYTES: usize = 64 * 1024;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let memory = MemoryAccount::with_capacity(2 * VALUE_COPIES * VALUE_BYTES + VALUE_BYTES);
        let (_caches, addresses) = watch::channel(Vec::new());
        let updater = CacheUpdater::start(addresses, Duration::from_secs(1), memory.clone());
        let slow = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let value = Bytes::from(vec![b'v'; VALUE_BYTES]);
        for version in 0..100 {
            updater.fill(vec![slow.local_addr().unwrap()], "key".into(), version, value.clone());
        }
        assert_eq!(
            memory.reserved(),
            2 * VALUE_COPIES * VALUE_BYTES,
            "two copies wait, the others are not sent"
        );
    });
    // The copies are dropped with the runtime.
}
