//! Instances under load get SIGKILL, SIGSTOP, SIGCONT and SIGTERM. The checks depend on counts
//! only, not on times.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use standin::control::ControlCommand;
use standin::fault;
use testbed::load::LoadGenerator;

use crate::cluster_lock;
use crate::start_ready;

#[tokio::test]
async fn no_payment_runs_twice_through_kills_and_freezes() {
    let _guard = cluster_lock().lock().await;
    let mut cluster = start_ready("signals").await;
    let gateways: Vec<_> = cluster.instances.iter().map(|it| it.gateway).collect();
    let load = LoadGenerator::start(gateways.clone());
    tokio::time::sleep(Duration::from_secs(2)).await;

    cluster
        .signal_instance(1, Signal::STOP)
        .expect("the instance runs");
    tokio::time::sleep(Duration::from_secs(6)).await;
    cluster
        .signal_instance(1, Signal::CONT)
        .expect("the instance runs");
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.kill_instance(2);
    load.set_gateways(vec![gateways[0], gateways[1], gateways[3]]);
    tokio::time::sleep(Duration::from_secs(6)).await;
    cluster.start_instance(2).expect("the instance starts");
    let lose_answers = ControlCommand::Platform(fault::Platform {
        lose_answers: 3,
        ..fault::Platform::default()
    });
    cluster
        .send_command(&lose_answers)
        .await
        .expect("the stand-in answers");
    tokio::time::sleep(Duration::from_secs(3)).await;

    let counts = load.finish().await.expect("the load generator stops");
    assert!(counts.complete > 0);
    assert_eq!(counts.mismatched, 0, "{counts:?}");
    for (key, times) in cluster.executions().await.expect("statistics") {
        assert_eq!(times, 1, "{key}");
    }
    let stats = cluster.stats().await.expect("statistics");
    let overloaded: Vec<_> = stats.iter().filter(|(_, it)| it.falls > 0).collect();
    assert!(overloaded.is_empty(), "{overloaded:?}");
}

#[tokio::test]
async fn a_graceful_shutdown_completes_streams() {
    let _guard = cluster_lock().lock().await;
    let mut cluster = start_ready("terminate").await;
    let http = reqwest::Client::new();
    let gateway = cluster.instances[0].gateway;
    let chat =
        tokio::spawn(async move { testbed::load::stream_chat(&http, gateway, "long", 100).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.stop_instance(0).expect("the instance exits");
    let chat = chat.await.expect("the task completes").expect("a response");
    let testbed::load::ChatResult::Complete(text) = chat else {
        panic!("the stream broke off");
    };
    assert_eq!(text, standin::engine::answer("user: long", 100));
}

#[tokio::test]
async fn the_outcome_of_a_request_can_be_queried() {
    let _guard = cluster_lock().lock().await;
    let cluster = start_ready("outcomes").await;
    let http = reqwest::Client::new();
    let gateway = cluster.instances[0].gateway;
    let outcome = |key: &str| {
        let url = format!("http://{gateway}/v1/outcomes/pay-fee/{key}");
        let request = http.get(url).header("x-workspace", "clerks");
        async move {
            let response = request.send().await.expect("a response");
            response.json::<serde_json::Value>().await.expect("JSON")
        }
    };
    assert_eq!(outcome("k1").await["outcome"], "not_run");
    let paid = http
        .post(format!("http://{gateway}/v1/pipelines/pay-fee"))
        .header("x-workspace", "clerks")
        .header("idempotency-key", "k1")
        .json(&json!({"input": {"case": 1}}))
        .send()
        .await
        .expect("a response");
    assert!(paid.status().is_success());
    // The answer is recorded in the background, so the outcome may still be `running`.
    let mut recorded = outcome("k1").await;
    while recorded["outcome"] == "running" {
        tokio::time::sleep(Duration::from_millis(50)).await;
        recorded = outcome("k1").await;
    }
    assert_eq!(recorded["outcome"], "answered");
    assert_eq!(recorded["answer"]["input"], json!({"case": 1}));
}
