//! Guards against wrong output, effects or exit codes of the `hawthornctl` commands check, pack,
//! diff, status, explain and drain.

mod fleet;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use fleet::process::router_binary;
use fleet::{ADMIN_TOKEN, FleetPlan, MODEL, TestFleet, wait_for};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
}

fn hawthornctl(args: &[&str]) -> Output {
    Command::new(router_binary("hawthornctl"))
        .args(args)
        .output()
        .expect("hawthornctl runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Runs `hawthornctl check` on `document` after `change`; returns the exit code and the errors.
fn check_changed(name: &str, document: &str, change: impl Fn(&str) -> String) -> (i32, String) {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("changed");
    std::fs::create_dir_all(&directory).expect("directory");
    let path = directory.join(format!("{name}.yaml"));
    let before = std::fs::read_to_string(example(document)).expect("example");
    let after = change(&before);
    assert_ne!(
        before, after,
        "{name}: the change leaves the document as it is"
    );
    std::fs::write(&path, after).expect("write");
    let output = hawthornctl(&["check", path.to_str().expect("path")]);
    let errors = text(&output.stderr).replace(directory.to_str().expect("path"), "");
    (output.status.code().expect("exit code"), errors)
}

#[test]
fn examples_pass() {
    for name in [
        "router.yaml",
        "locator.yaml",
        "asociacion/register.yaml",
        "asociacion/rules.yaml",
        "bennani/register.yaml",
        "bennani/rules.yaml",
    ] {
        let output = hawthornctl(&["check", example(name).to_str().expect("path")]);
        assert!(output.status.success(), "{name}: {}", text(&output.stderr));
    }
}

#[test]
fn faults_named() {
    let cases = [
        check_changed("unknown-key", "router.yaml", |text| {
            text.replace("vm_list:", "vmlist:")
        }),
        check_changed("not-an-ip", "router.yaml", |text| {
            text.replace("entry: 10.20.1.10:7000 ", "entry: router.example:7000 ")
        }),
        check_changed("no-unit", "asociacion/rules.yaml", |text| {
            text.replace("max_wait: 2s", "max_wait: 2")
        }),
        check_changed("wrong-share", "asociacion/rules.yaml", |text| {
            text.replace("floor: 30%", "floor: 130%")
        }),
        check_changed("floors-too-high", "asociacion/rules.yaml", |text| {
            text.replace("floor: 30%", "floor: 60%")
        }),
        check_changed("engine-twice", "bennani/register.yaml", |text| {
            text.replace("engine-07", "engine-03")
        }),
        check_changed("no-such-model", "bennani/register.yaml", |text| {
            text.replace(
                "'10.30.2.101:8000', model: lang-1",
                "'10.30.2.101:8000', model: lang-9",
            )
        }),
        check_changed("no-slots", "bennani/register.yaml", |text| {
            text.replacen("slots: 16", "slots: 0", 1)
        }),
    ];
    assert!(cases.iter().all(|(code, _)| *code == 1));
    let errors: Vec<String> = cases.into_iter().map(|(_, errors)| errors).collect();
    insta::assert_snapshot!(errors.join("---\n"));
}

#[test]
fn usage_codes() {
    assert_eq!(hawthornctl(&["check"]).status.code(), Some(2));
    assert_eq!(hawthornctl(&["no-such-command"]).status.code(), Some(2));
    assert_eq!(
        hawthornctl(&["check", "/no/such/file"]).status.code(),
        Some(1)
    );
    assert_eq!(hawthornctl(&["--help"]).status.code(), Some(0));
    let version = Command::new(router_binary("hawthorn-router"))
        .arg("--version")
        .output();
    assert!(version.expect("router runs").status.success());
}

#[test]
fn pack_and_diff() {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("packed");
    let (register, rules) = (
        example("bennani/register.yaml"),
        example("bennani/rules.yaml"),
    );
    let (register, rules) = (
        register.to_str().expect("path"),
        rules.to_str().expect("path"),
    );
    let out_text = out.to_str().expect("path");
    let output = hawthornctl(&[
        "pack",
        register,
        rules,
        "--revision",
        "7",
        "--out",
        out_text,
    ]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let manifest = std::fs::read_to_string(out.join("manifest")).expect("manifest");
    assert!(manifest.starts_with("{\"revision\":7,"));
    let changed = out.join("changed.yaml");
    let before = std::fs::read_to_string(register).expect("register");
    std::fs::write(&changed, before.replace("engine-07", "engine-77")).expect("write");
    let output = hawthornctl(&["diff", register, changed.to_str().expect("path")]);
    assert_eq!(
        text(&output.stdout),
        "- engine engine-07\n+ engine engine-77\n"
    );
}

#[ntex::test]
async fn running_fleet() {
    let mut fleet = TestFleet::start(FleetPlan::new("running_fleet")).await;
    let token = fleet.dir.join("token");
    std::fs::write(&token, ADMIN_TOKEN).expect("token");
    let token = token.to_str().expect("path").to_owned();
    let admin = fleet.routers[0].settings.admin.to_string();
    let output = hawthornctl(&["status", &admin, "--token", &token]);
    let status = text(&output.stdout);
    assert!(
        status.contains("stage      serving") && status.contains("revision   1"),
        "{status}"
    );
    let output = hawthornctl(&[
        "explain", &admin, "--token", &token, "--model", MODEL, "--chat", "chat-1",
    ]);
    assert_eq!(
        text(&output.stdout).lines().count(),
        4,
        "{}",
        text(&output.stdout)
    );
    let wrong = fleet.dir.join("wrong");
    std::fs::write(&wrong, "guess").expect("token");
    let output = hawthornctl(&["drain", &admin, "--token", wrong.to_str().expect("path")]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        hawthornctl(&["drain", &admin, "--token", &token])
            .status
            .success()
    );
    let process = fleet.routers[0].process.take().expect("router runs");
    assert!(wait_for("router stops", async || process.exit_success()).await);
}
