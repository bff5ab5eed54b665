//! What each program that reads a settings file must print: version, help, and every error of the file by its key.
//! Included by the programs' own tests, since only those know the path of the binary.

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
    /// Its name, as it prints it.
    pub(crate) name: &'static str,
    /// The path of the binary.
    pub(crate) path: &'static str,
}

impl Binary {
    /// Runs it until it ends.
    pub(crate) fn run(&self, arguments: &[&str]) -> Output {
        Command::new(self.path)
            .args(arguments)
            .output()
            .expect("it runs")
    }

    /// A settings file of this test process, which the caller removes.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let file_name = format!("{}-{name}-{}.json", self.name, std::process::id());
        let path = std::env::temp_dir().join(file_name);
        std::fs::write(&path, text).expect("a file");
        path
    }

    /// Checks that it refuses settings with exit code 2 and one line that names the file, and returns that line.
    pub(crate) fn check_refused(&self, name: &str, text: &str, more: &[&str]) -> String {
        let path = self.write_file(name, text);
        let mut arguments = vec!["--boot", path.to_str().expect("a path")];
        arguments.extend(more);
        let output = self.run(&arguments);
        let stderr_text = String::from_utf8_lossy(&output.stderr).trim().to_owned();
        assert_eq!(output.status.code(), Some(2), "{stderr_text}");
        assert_eq!(stderr_text.lines().count(), 1, "{stderr_text}");
        assert!(
            stderr_text.contains(path.to_str().expect("a path")),
            "{stderr_text}"
        );
        let _ = std::fs::remove_file(path);
        stderr_text
    }

    /// Checks that it prints its version and its help.
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

    /// Checks that it names bad settings by file, key and reason.
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

    /// Checks that a SIGHUP that comes while the settings are still being read does not end it. The settings come
    /// through a named pipe: once it can be opened for writing, the process is waiting for them.
    #[allow(dead_code)]
    pub(crate) fn check_hang_up_while_reading_settings(&self) {
        let pipe = SettingsPipe::create(self.name);
        let mut child = self.start_with(&pipe);
        let writer = pipe.writer_to(&mut child);
        send_hangup(&child);
        verify_refuses_settings(child, writer);
    }

    /// Checks that a SIGHUP that comes when the process runs its first code does not end it, at many starts.
    #[allow(dead_code)]
    pub(crate) fn check_hang_up_at_program_start(&self) {
        let pipe = SettingsPipe::create(&format!("{}-first-code", self.name));
        for _ in 0..STARTS {
            let mut child = self.start_with(&pipe);
            await_program_start(child.id());
            send_hangup(&child);
            let writer = pipe.writer_to(&mut child);
            verify_refuses_settings(child, writer);
        }
    }

    /// Starts it with settings that it waits for.
    fn start_with(&self, pipe: &SettingsPipe) -> Child {
        Command::new(self.path)
            .arg("--boot")
            .arg(&pipe.path)
            .stderr(std::process::Stdio::null())
            .spawn()
            .expect("it starts")
    }
}

/// How often a program is started to be hung up at its first code.
const STARTS: usize = 40;

/// A named pipe through which a process gets its settings; removed when this is dropped.
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

    /// Opens the pipe for writing once the process waits for its settings.
    fn writer_to(&self, child: &mut Child) -> File {
        loop {
            let opened = OpenOptions::new()
                .write(true)
                .custom_flags(NONBLOCKING)
                .open(&self.path);
            if let Ok(writer) = opened {
                return writer;
            }
            let status = child.try_wait().expect("a status");
            assert!(status.is_none(), "it ended before it read: {status:?}");
        }
    }
}

impl Drop for SettingsPipe {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Gives the process settings that it refuses, and checks that it ends for that reason.
fn verify_refuses_settings(mut child: Child, mut writer: File) {
    writer.write_all(b"{}").expect("it reads");
    drop(writer);
    let status = child.wait().expect("a status");
    assert_eq!(status.code(), Some(2), "{status}");
}

fn send_hangup(child: &Child) {
    let process = Pid::from_raw(child.id() as i32).expect("a process");
    kill_process(process, Signal::HUP).expect("a signal");
}

/// `O_NONBLOCK`: opening a pipe for writing fails unless it is open for reading.
const NONBLOCKING: i32 = 0o4000;
