use super::*;
use std::sync::atomic::{AtomicBool, Ordering};

const TOTAL: Capacity = Capacity { connections: 320, memory: 16_000 };

#[test]
fn an_ending_process_counts_with_its_published_capacity_until_it_is_gone() {
    // Guards against a successor that reads the files of a process while it ends, takes it for one that
    // has published nothing, and assumes that it holds the whole capacity.
    let folder = std::env::temp_dir().join(format!("spardeal-beside-test-{}", std::process::id()));
    let own = Handover::join(&folder, (1_000, 0)).unwrap();
    for round in 0..300 {
        let mut old = Handover::join(&folder, (round, 0)).unwrap();
        old.publish(Capacity { connections: 20, memory: 1_000 });
        let may_end = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let ending = scope.spawn(|| {
                while !may_end.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
                drop(old);
            });
            may_end.store(true, Ordering::Relaxed);
            loop {
                let done = ending.is_finished();
                for other in own.other_processes(TOTAL) {
                    assert_eq!(other.capacity.connections, 20, "round {round}");
                }
                if done {
                    break;
                }
            }
        });
        assert!(own.other_processes(TOTAL).is_empty(), "the process has ended");
    }
    // The lock file is opened before the ending process removes its files, and the lock is still held when it
    // is read: the process counts as ended.
    let mut old = Handover::join(&folder, (998, 0)).unwrap();
    old.publish(Capacity { connections: 20, memory: 1_000 });
    let lock = File::open(own.folder.join(lock_file_name((998, 0)))).unwrap();
    assert!(own.status_of((998, 0), &lock, TOTAL).is_some());
    for file in [lock_file_name((998, 0)), status_file_name((998, 0))] {
        std::fs::remove_file(own.folder.join(file)).unwrap();
    }
    assert_eq!(own.status_of((998, 0), &lock, TOTAL), None);
    // A process that holds its lock and has published nothing yet may hold the whole capacity.
    let _starting = Handover::join(&folder, (999, 0)).unwrap();
    assert_eq!(own.other_processes(TOTAL).iter().map(|other| other.capacity).collect::<Vec<_>>(), [TOTAL]);
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn file_names_and_contents_match_those_of_the_released_version() {
    // Guards against processes of two versions that do not find each other while one replaces the other.
    let tmpdir = std::env::temp_dir().join(format!("handover-released-{}", std::process::id()));
    let mut own = Handover::join(&tmpdir, (1_764_747_017_000_000, 42)).unwrap();
    own.own.stage = ProcessStage::Serving;
    own.own.in_flight = 3;
    own.publish(Capacity { connections: 300, memory: 15_000 });
    let folder = tmpdir.join("spardeal-beside");
    let status = std::fs::read_to_string(folder.join("00001764747017000000-42")).unwrap();
    assert_eq!(status, "1 serving 300 15000 3\n");
    assert!(folder.join("00001764747017000000-42.lock").exists());

    let lock = File::create(folder.join("00001764747016000000-41.lock")).unwrap();
    lock.try_lock().unwrap();
    std::fs::write(folder.join("00001764747016000000-41"), "1 draining 7 8 9\n").unwrap();
    let released = ProcessStatus {
        started: (1_764_747_016_000_000, 41),
        stage: ProcessStage::Draining,
        capacity: Capacity { connections: 7, memory: 8 },
        in_flight: 9,
    };
    assert_eq!(own.other_processes(TOTAL), [released]);
    drop(own);
    let remaining: Vec<_> =
        std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().file_name()).collect();
    assert!(
        remaining.iter().all(|file| file.to_string_lossy().starts_with("00001764747016000000-41")),
        "{remaining:?}"
    );
    std::fs::remove_dir_all(&tmpdir).unwrap();
}
