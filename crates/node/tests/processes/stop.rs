//! Stops of a process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use platform_standin::client;
use platform_standin::client::Response;
use platform_standin::site::API_KEY;
use platform_standin::upstream::Fault;
use rustix::fs::FileType;
use rustix::fs::Mode;
use rustix::process::Signal;
use serde_json::json;
use testbed::process::Daemon;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::deployment::Deployment;
use crate::programs;

/// Time that the client waits: longer than the first time for a stop, shorter than the second.
const DEADLINE: Duration = Duration::from_millis(10_500);

/// Adds a route whose requests may take longer than a stop.
fn configure_long_route(deployment: &Deployment) {
    let route = json!([{"name": "long", "host": "site.example", "prefix": "/long/",
        "type": "nonidempotent", "timeout_ms": 20_000, "goal_ms": 100, "priority": 1,
        "service": "ledger", "attempts": 1}]);
    deployment.site.configure(2, route);
}

/// Guards against a stop by the time that the process was started with: answers were cut off though
/// the settings gave them longer.
#[tokio::test(flavor = "multi_thread")]
async fn a_longer_time_for_a_stop_holds_without_a_signal() {
    let mut deployment = Deployment::start("stop").await;
    configure_long_route(&deployment);
    for upstream in &deployment.site.upstreams {
        upstream.0.set_fault(Fault::Silent, None);
    }
    deployment.add("n0", &programs::current()).await;
    let instance = &deployment.instances[0];
    let address = instance.client_address;
    let start = Instant::now();
    let request = tokio::spawn(async move {
        let key = format!("authorization: Bearer {API_KEY}");
        let headers = [
            key.as_str(),
            "host: site.example",
            "x-request-id: r1",
            &format!("x-deadline-ms: {}", DEADLINE.as_millis()),
        ];
        client::send_request(address, "POST /long/1", &headers, b"").await
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let settings = std::fs::read_to_string(&instance.settings).expect("settings");
    let settings = settings.replace("grace_s: 8", "grace_s: 16");
    std::fs::write(&instance.settings, settings).expect("a file");
    instance.daemon.signal(Signal::TERM).expect("a process");
    let response = request.await.expect("a client that does not panic");
    assert_eq!(response.status, 504, "{}", response.head);
    let elapsed = start.elapsed();
    assert!(
        elapsed > DEADLINE.mul_f64(0.95),
        "given up after {elapsed:?}"
    );
}

/// Clients that send one request after the other on connections that they keep open.
const KEPT_CONNECTIONS: usize = 12;
/// Deadline of their requests, and the time that one of the upstreams takes for a request.
const KEPT_DEADLINE: Duration = Duration::from_millis(2_000);
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(1_200);
/// The users' time from SIGTERM to SIGKILL, as the settings say.
const GRACE: Duration = Duration::from_secs(8);

/// Guards against requests of kept connections that arrive late in a planned stop, are passed on, and
/// are cut off without an answer when the process exits.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_request_that_was_passed_on() {
    let mut deployment = Deployment::start("planned-stop").await;
    deployment
        .site
        .add("ledger", 0, SLOW_SERVICE_TIME)
        .await
        .expect("a port");
    deployment.add("n0", &programs::current()).await;
    let instance = &deployment.instances[0];
    let address = instance.client_address;
    let mut clients = JoinSet::new();
    for client in 0..KEPT_CONNECTIONS {
        clients.spawn(send_until_closed(address, client));
    }
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let stopped_at = Instant::now();
    instance.daemon.signal(Signal::TERM).expect("a process");
    let mut unanswered = Vec::new();
    let mut answered = 0;
    while let Some(result) = clients.join_next().await {
        let (lost, count) = result.expect("a client that does not panic");
        unanswered.extend(lost);
        answered += count;
    }
    let ended_after = stopped_at.elapsed();
    let runs = deployment.site.upstreams.iter().flat_map(|it| it.0.runs());
    let runs: BTreeSet<String> = runs.map(|it| it.0).collect();
    let cut_off = unanswered.into_iter().filter(|it| runs.contains(it));
    assert_eq!(cut_off.collect::<Vec<_>>(), Vec::<String>::new());
    assert!(answered > KEPT_CONNECTIONS * 20, "{answered} answers");
    assert!(ended_after < GRACE, "exit after {ended_after:?}");
}

/// Sends payments until no connection is accepted any more. Returns the ids of those that got no
/// complete answer, and the number of answers.
async fn send_until_closed(address: SocketAddr, client: usize) -> (Vec<String>, usize) {
    let mut unanswered = Vec::new();
    let mut answered = 0;
    while let Ok(mut stream) = TcpStream::connect(address).await {
        let mut is_kept = true;
        while is_kept {
            let id = format!("c{client}-{}", answered + unanswered.len());
            match exchange(&mut stream, &id).await {
                Some(head) => {
                    answered += 1;
                    is_kept = !head.contains("connection: close");
                }
                None => {
                    unanswered.push(id);
                    is_kept = false;
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    (unanswered, answered)
}

/// Sends a payment and reads its answer; returns the head in lower case if the answer is complete.
async fn exchange(stream: &mut TcpStream, id: &str) -> Option<String> {
    let request = format!(
        "POST /post/1 HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer {API_KEY}\r\n\
         x-request-id: {id}\r\nx-deadline-ms: {}\r\ncontent-length: 2\r\n\r\nab",
        KEPT_DEADLINE.as_millis()
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut received = Vec::new();
    loop {
        if stream.read_buf(&mut received).await.ok()? == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&received).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let mut lines = head.lines();
        let length = lines.find_map(|it| it.strip_prefix("content-length: ")?.parse().ok());
        if body.len() >= length.unwrap_or(0) {
            return Some(head.to_owned());
        }
    }
}

/// Guards against a process that is killed, as its time for a stop is shorter than that in which the
/// load balancer moves its clients elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_with_a_short_time_for_a_stop_exits_by_itself() {
    let mut deployment = Deployment::start("short-stop").await;
    deployment.add("n0", &programs::current()).await;
    let instance = &mut deployment.instances[0];
    let settings = std::fs::read_to_string(&instance.settings).expect("settings");
    let settings = settings.replace("grace_s: 8", "grace_s: 2");
    std::fs::write(&instance.settings, settings).expect("a file");
    instance.daemon.signal(Signal::TERM).expect("a process");
    let exit = instance.daemon.wait(Duration::from_secs(2));
    let exit = exit.expect("a process");
    assert!(exit.is_some(), "no exit within the time for a stop");
}

/// Guards against a request whose body arrives late in a stop and that is judged by when it began: it
/// was passed on though it may end only after the exit, and was cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_complete_only_late_in_a_stop_is_refused() {
    let mut deployment = Deployment::start("late-body").await;
    configure_long_route(&deployment);
    deployment.add("n0", &programs::current()).await;
    let instance = &deployment.instances[0];
    let mut stream = TcpStream::connect(instance.client_address)
        .await
        .expect("a connection");
    instance.daemon.signal(Signal::TERM).expect("a process");
    let head = format!(
        "POST /long/1 HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer {API_KEY}\r\n\
         x-request-id: late\r\nx-deadline-ms: 20000\r\ncontent-length: 4\r\n\r\nab"
    );
    tokio::time::sleep(Duration::from_millis(500)).await;
    stream.write_all(head.as_bytes()).await.expect("a write");
    tokio::time::sleep(GRACE * 3 / 4).await;
    stream.write_all(b"cd").await.expect("a write");
    let mut response = vec![0; 1_024];
    let length = stream.read(&mut response).await.expect("a response");
    let response = String::from_utf8_lossy(&response[..length]);
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    let upstreams = deployment.site.upstreams.iter();
    let runs = upstreams.flat_map(|it| it.0.runs());
    assert_eq!(runs.count(), 0);
}

/// Requests for streams that each client has under way, one after the other.
const STREAM_CLIENTS: usize = 6;

/// Guards against streams that are cut off, or requests whose steps are lost, when the instance that
/// a client uses stops, and another one, which may run the steps, stops a moment later.
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_stops_cut_off_no_stream() {
    let mut deployment = Deployment::start("overlapping-stops").await;
    for idx in 0..3 {
        deployment
            .add(&format!("n{idx}"), &programs::current())
            .await;
    }
    let mut clients = JoinSet::new();
    for (idx, instance) in deployment.instances.iter().enumerate().take(2) {
        for client in 0..STREAM_CLIENTS {
            let target = ["POST /draft/1", "POST /summary/1"][client % 2];
            let name = format!("n{idx}-c{client}");
            clients.spawn(stream_until_refused(instance.client_address, target, name));
        }
    }
    for instance in &deployment.instances[..2] {
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        instance.daemon.signal(Signal::TERM).expect("a process");
    }
    let mut responses = Vec::new();
    while let Some(result) = clients.join_next().await {
        responses.extend(result.expect("a client that does not panic"));
    }
    let runs = deployment.site.upstreams.iter().flat_map(|it| it.0.runs());
    let runs: BTreeSet<String> = runs.map(|it| it.0).collect();
    let is_whole = |it: &(String, Response)| match it.1.status {
        200 => it.1.is_complete,
        503 | 0 => !runs.contains(&it.0),
        _ => false,
    };
    let broken = responses.iter().filter(|it| !is_whole(it));
    let broken = broken.map(|it| (&it.0, it.1.status, it.1.is_complete));
    assert_eq!(broken.collect::<Vec<_>>(), Vec::new());
    let whole = responses.iter().filter(|it| it.1.status == 200);
    assert!(whole.count() > 100, "{} responses", responses.len());
}

/// Sends requests for streams until no connection is accepted any more; returns the id and response of
/// each.
async fn stream_until_refused(
    address: SocketAddr,
    target: &str,
    name: String,
) -> Vec<(String, Response)> {
    let mut responses = Vec::new();
    while TcpStream::connect(address).await.is_ok() {
        let id = format!("{name}-{}", responses.len());
        let key = format!("authorization: Bearer {API_KEY}");
        let headers = [
            key.as_str(),
            &format!("x-request-id: {id}"),
            "x-deadline-ms: 4000",
            "x-prompt-prefix: a:900,b:900,c:100",
            "x-chunks: 2",
            "x-chunk-key: k",
        ];
        let response = client::send_request(address, target, &headers, b"").await;
        responses.push((id, response));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    responses
}

/// Guards against a process that a change of its settings ends, as it has no handler for SIGHUP before
/// it has read them.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_outlives_a_hangup_while_it_starts() {
    let deployment = Deployment::start("early-hangup").await;
    let settings = deployment.dir.join(format!("{}.fifo", std::process::id()));
    let (kind, mode) = (FileType::Fifo, Mode::RUSR | Mode::WUSR);
    rustix::fs::mknodat(rustix::fs::CWD, &settings, kind, mode, 0).expect("a pipe");
    let program = programs::current();
    let mut daemon =
        Daemon::start("early", &program, &settings, &deployment.dir).expect("a process");
    // The process opens the pipe and waits for a writer.
    tokio::time::sleep(Duration::from_millis(500)).await;
    daemon.signal(Signal::HUP).expect("a process");
    let exit = daemon.wait(Duration::from_millis(500)).expect("a process");
    assert_eq!(exit, None);
    std::fs::remove_file(&settings).expect("a pipe");
}
