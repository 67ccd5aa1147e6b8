//! The watch of a settings file.

use std::cell::RefCell;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use currantgate::watch_settings;

/// Guards against changes of the file that are not applied, and against a file that can't be
/// read replacing the settings or ending the watch.
#[actix_rt::test]
async fn changed_settings_are_applied_and_invalid_ones_are_not() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("settings");
    std::fs::write(&path, "1").unwrap();
    let applied = RefCell::new(Vec::new());
    let watch = watch_settings(
        &path,
        |path| std::fs::read_to_string(path).unwrap().parse::<u32>(),
        |number| applied.borrow_mut().push(*number),
    );
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
            result = watch => panic!("the watch has ended: {result:?}"),
            () = changes => {}
        }
    };
    timeout(Duration::from_secs(30), both).await.unwrap();
    assert_eq!(*applied.borrow(), [2, 3]);
}
