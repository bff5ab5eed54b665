//! Checks of a program that reads a settings file: its version, its help, its errors by key, and that signals during
//! startup don't terminate it. Included by the programs' own tests, since only those know the path of the binary.

#[path = "program_start.rs"]
mod program_start;

use program_start::await_program_start;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;
use std::process::{Child, Command, Output};

/// A program under test.
pub(crate) struct Binary {
    /// The name that the program prints.
    pub(crate) name: &'static str,
    /// The path of the binary.
    pub(crate) path: &'static str,
}

impl Binary {
    /// Runs the program until it exits.
    pub(crate) fn run(&self, arguments: &[&str]) -> Output {
        Command::new(self.path)
            .args(arguments)
            .output()
            .expect("the program runs")
    }

    /// Writes a temporary settings file, which the caller removes.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let file_name = format!("{}-{name}-{}.json", self.name, std::process::id());
        let path = std::env::temp_dir().join(file_name);
        std::fs::write(&path, text).expect("the file is written");
        path
    }

    /// Checks that the program rejects settings with exit code 2 and one line on stderr that names the file. Returns the
    /// line.
    pub(crate) fn check_refused(&self, name: &str, text: &str, more: &[&str]) -> String {
        let path = self.write_file(name, text);
        let mut arguments = vec!["--boot", path.to_str().expect("a UTF-8 path")];
        arguments.extend(more);
        let output = self.run(&arguments);
        let stderr_text = String::from_utf8_lossy(&output.stderr).trim().to_owned();
        assert_eq!(output.status.code(), Some(2), "{stderr_text}");
        assert_eq!(stderr_text.lines().count(), 1, "{stderr_text}");
        assert!(
            stderr_text.contains(path.to_str().expect("a UTF-8 path")),
            "{stderr_text}"
        );
        let _ = std::fs::remove_file(path);
        stderr_text
    }

    /// Checks that the program prints its version and its help.
    pub(crate) fn check_version_and_help(&self) {
        let version = self.run(&["--version"]);
        let version_text = String::from_utf8_lossy(&version.stdout).into_owned();
        assert!(
            version_text.starts_with(&format!("{} ", self.name)),
            "{version_text}"
        );
        assert_eq!(version.status.code(), Some(0));
        assert!(String::from_utf8_lossy(&self.run(&["--help"]).stdout).contains("--boot"));
    }

    /// Checks that errors in settings name the file, the key and the reason.
    pub(crate) fn check_bad_settings(&self) {
        let unknown = self.check_refused("unknown", r#"{"colour": "red"}"#, &[]);
        assert!(unknown.contains("colour is not a known key"), "{unknown}");
        assert!(
            self.check_refused("missing", "{}", &[])
                .contains("is missing")
        );
        assert!(self.check_refused("json", "{", &[]).contains("not JSON"));
        let bad_address = self.check_refused("place", r#"{"place": "localhost:1"}"#, &[]);
        assert!(
            bad_address.contains("place is not an IP number with port"),
            "{bad_address}"
        );
        let overridden = self.check_refused(
            "flag",
            r#"{"place": "127.0.0.1:1"}"#,
            &["--place", "nowhere"],
        );
        assert!(
            overridden.contains("place is not an IP number with port"),
            "{overridden}"
        );
        let seeds = r#"{"seeds": ["127.0.0.1:1", "127.0.0.1:2"]}"#;
        assert_eq!(
            self.run(&["--boot", "/no/such/file.json"]).status.code(),
            Some(2)
        );
        let _ = self.check_refused("seeds", seeds, &[]);
    }

    /// Checks that a SIGHUP while the settings are being read does not terminate the program. The program reads the
    /// settings from a named pipe; once that can be opened for writing, the process is waiting for them.
    #[allow(dead_code)]
    pub(crate) fn check_hang_up_while_reading_settings(&self) {
        let pipe = SettingsPipe::create(self.name);
        let mut child = self.start_with(&pipe);
        let writer = pipe.writer_to(&mut child);
        send_hangup(&child);
        verify_refuses_settings(child, writer);
    }

    /// Checks, over many starts, that a SIGHUP as soon as the program's own code runs does not terminate it.
    #[allow(dead_code)]
    pub(crate) fn check_hang_up_at_program_start(&self) {
        let pipe = SettingsPipe::create(&format!("{}-first-code", self.name));
        for _ in 0..HANG_UP_STARTS {
            let mut child = self.start_with(&pipe);
            await_program_start(child.id());
            send_hangup(&child);
            let writer = pipe.writer_to(&mut child);
            verify_refuses_settings(child, writer);
        }
    }

    /// Starts the program with settings from a pipe, for which it waits.
    fn start_with(&self, pipe: &SettingsPipe) -> Child {
        Command::new(self.path)
            .arg("--boot")
            .arg(&pipe.path)
            .stderr(std::process::Stdio::null())
            .spawn()
            .expect("the program starts")
    }
}

/// How many times a program is started to receive a SIGHUP at its start.
const HANG_UP_STARTS: usize = 40;

/// A named pipe from which a process reads its settings; removed on drop.
struct SettingsPipe {
    path: PathBuf,
}

impl SettingsPipe {
    fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}.pipe", std::process::id()));
        let _ = std::fs::remove_file(&path);
        let made = Command::new("mkfifo").arg(&path).status();
        assert!(made.expect("mkfifo").success());
        Self { path }
    }

    /// Opens the pipe for writing as soon as the process waits for its settings.
    fn writer_to(&self, child: &mut Child) -> File {
        loop {
            let opened = OpenOptions::new()
                .write(true)
                .custom_flags(O_NONBLOCK)
                .open(&self.path);
            if let Ok(writer) = opened {
                return writer;
            }
            let status = child.try_wait().expect("a status");
            assert!(
                status.is_none(),
                "the program exited before it read its settings: {status:?}"
            );
        }
    }
}

impl Drop for SettingsPipe {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Writes settings that the process rejects, and checks that it exits for that reason.
fn verify_refuses_settings(mut child: Child, mut writer: File) {
    writer
        .write_all(b"{}")
        .expect("the process reads its settings");
    drop(writer);
    let status = child.wait().expect("a status");
    assert_eq!(status.code(), Some(2), "{status}");
}

fn send_hangup(child: &Child) {
    let process = Pid::from_raw(child.id() as i32).expect("a process");
    kill_process(process, Signal::HUP).expect("a signal");
}

/// `O_NONBLOCK`, with which opening a pipe for writing fails unless it is open for reading.
const O_NONBLOCK: i32 = 0o4000;
