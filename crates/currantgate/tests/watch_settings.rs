//! The watch of a settings file.

use std::cell::RefCell;
use std::num::ParseIntError;
use std::path::Path;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use currantgate::SettingsWatch;
use rustix::process::{Signal, getpid, kill_process};

fn read_number(path: &Path) -> Result<u32, ParseIntError> {
    std::fs::read_to_string(path).unwrap().parse()
}

/// Guards against changes of the file that are not applied, and against a file that can't be
/// read replacing the settings or ending the watch.
#[actix_rt::test]
async fn changed_settings_are_applied_and_invalid_ones_are_not() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("settings");
    std::fs::write(&path, "1").unwrap();
    let applied = RefCell::new(Vec::new());
    let watch = SettingsWatch::new(&path, 1).unwrap();
    let watch = watch.run(read_number, |number| applied.borrow_mut().push(*number));
    let changes = async {
        // Longer than the interval of the checks.
        for text in ["1", "2", "none", "3"] {
            sleep(Duration::from_millis(2_500)).await;
            std::fs::write(&path, text).unwrap();
        }
        while applied.borrow().len() < 2 {
            sleep(Duration::from_millis(50)).await;
        }
    };
    let both = async {
        tokio::select! {
            () = watch => panic!("the watch has ended"),
            () = changes => {}
        }
    };
    timeout(Duration::from_secs(30), both).await.unwrap();
    assert_eq!(*applied.borrow(), [2, 3]);
}

/// Guards against a process that SIGHUP ends while it starts, and against a change of the file in
/// that time that is never applied.
#[actix_rt::test]
async fn a_change_during_the_start_is_applied() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("settings");
    std::fs::write(&path, "1").unwrap();
    let watch = SettingsWatch::new(&path, read_number(&path).unwrap()).unwrap();
    std::fs::write(&path, "2").unwrap();
    kill_process(getpid(), Signal::HUP).unwrap();
    let applied = RefCell::new(Vec::new());
    let run = watch.run(read_number, |number| applied.borrow_mut().push(*number));
    let is_applied = async {
        while applied.borrow().is_empty() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let both = async {
        tokio::select! {
            () = run => panic!("the watch has ended"),
            () = is_applied => {}
        }
    };
    timeout(Duration::from_secs(30), both).await.unwrap();
    assert_eq!(*applied.borrow(), [2]);
}
