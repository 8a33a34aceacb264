//! KILL, STOP, CONT and TERM under load. No verdict hangs on a time, only on counts.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use standin::control::ControlCommand;
use standin::fault;
use testbed::load::LoadGenerator;

use crate::start_ready;
use crate::turn;

#[tokio::test]
async fn no_payment_runs_twice_through_kills_and_freezes() {
    let _turn = turn().lock().await;
    let mut cluster = start_ready("signals").await;
    let gateways: Vec<_> = cluster.instances.iter().map(|it| it.gateway).collect();
    let load = LoadGenerator::start(gateways.clone());
    tokio::time::sleep(Duration::from_secs(2)).await;

    cluster.signal_instance(1, Signal::STOP).expect("it runs");
    tokio::time::sleep(Duration::from_secs(6)).await;
    cluster.signal_instance(1, Signal::CONT).expect("it runs");
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.kill_instance(2);
    load.set_gateways(vec![gateways[0], gateways[1], gateways[3]]);
    tokio::time::sleep(Duration::from_secs(6)).await;
    cluster.start_instance(2).expect("it starts");
    let lost = ControlCommand::Platform(fault::Platform {
        lose_answers: 3,
        ..fault::Platform::default()
    });
    cluster
        .send_command(&lost)
        .await
        .expect("the stand-in answers");
    tokio::time::sleep(Duration::from_secs(3)).await;

    let tally = load.finish().await.expect("the load ends");
    assert!(tally.complete > 0);
    assert_eq!(tally.mismatched, 0, "{tally:?}");
    for (key, times) in cluster.executions().await.expect("statistics") {
        assert_eq!(times, 1, "{key}");
    }
    let stats = cluster.stats().await.expect("statistics");
    let overloaded: Vec<_> = stats.iter().filter(|(_, it)| it.falls > 0).collect();
    assert!(overloaded.is_empty(), "{overloaded:?}");
}

#[tokio::test]
async fn a_terminated_instance_cuts_no_stream() {
    let _turn = turn().lock().await;
    let mut cluster = start_ready("terminate").await;
    let http = reqwest::Client::new();
    let gateway = cluster.instances[0].gateway;
    let chat =
        tokio::spawn(async move { testbed::load::stream_chat(&http, gateway, "long", 100).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.stop_instance(0).expect("it stops by itself");
    let chat = chat.await.expect("the task ends").expect("a stream");
    let testbed::load::ChatResult::Complete(text) = chat else {
        panic!("the stream was cut");
    };
    assert_eq!(text, standin::engine::answer("user: long", 100));
}

#[tokio::test]
async fn an_outcome_can_be_asked_for() {
    let _turn = turn().lock().await;
    let cluster = start_ready("outcomes").await;
    let http = reqwest::Client::new();
    let gateway = cluster.instances[0].gateway;
    let outcome = |key: &str| {
        let url = format!("http://{gateway}/v1/outcomes/pay-fee/{key}");
        let request = http.get(url).header("x-workspace", "clerks");
        async move {
            let response = request.send().await.expect("an answer");
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
        .expect("an answer");
    assert!(paid.status().is_success());
    // The answer is recorded in the background.
    let mut recorded = outcome("k1").await;
    while recorded["outcome"] == "running" {
        tokio::time::sleep(Duration::from_millis(50)).await;
        recorded = outcome("k1").await;
    }
    assert_eq!(recorded["outcome"], "answered");
    assert_eq!(recorded["answer"]["input"], json!({"case": 1}));
}
