//! Effects and results of calls over the fake network under its faults.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_peer::link::{PeerLink, PeerService};
use almondpass_peer::{dispatch, error, link};
use almondpass_schema::model;
use almondpass_standin::{fault, net};
use bytes::Bytes;
use tokio::time;

const DEADLINE: Duration = Duration::from_secs(2);

/// Counts the hand-over calls that it handles; each takes a second.
#[derive(Clone, Default)]
struct HandOverService {
    handled: Arc<AtomicU32>,
}

impl PeerService for HandOverService {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        assert_eq!(path, model::HandOver::PATH);
        dispatch::answer(&body, async |_: model::HandOver| {
            time::sleep(Duration::from_secs(1)).await;
            self.handled.fetch_add(1, Ordering::SeqCst);
            model::Ack {}
        })
        .await
    }
}

async fn call(net: &net::FakeNet) -> Result<model::Ack, error::CallFault> {
    let call = model::HandOver { hall: "vadodara".to_owned(), epoch: 1 };
    net.link("a").call(&"b".to_owned(), call, DEADLINE).await.map_err(|it| it.fault)
}

/// Each test makes one call from `a` to `b` and checks the caller's result, and how often the service has
/// handled the call a minute later.
macro_rules! call_cases {
    ($($(#[$doc:meta])* $name:ident($net:ident) $fault:block => $result:pat, handled $handled:literal;)*) => {
        $($(#[$doc])* #[tokio::test(start_paused = true)]
        async fn $name() {
            let $net = net::FakeNet::new();
            let service = HandOverService::default();
            $net.register("b", service.clone());
            $fault
            let result = call(&$net).await;
            assert!(matches!(result, $result), "{result:?}");
            time::sleep(Duration::from_secs(60)).await;
            assert_eq!(service.handled.load(Ordering::SeqCst), $handled);
        })*
    };
}

call_cases! {
    call_is_answered(net) {} => Ok(model::Ack {}), handled 1;

    unknown_address_is_refused(net) { net.crash("b"); } => Err(error::CallFault::NotSent(_)), handled 0;

    crash_of_a_process_breaks_calls_in_flight(net) {
        let dying = net.clone();
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(500)).await;
            dying.crash("b");
        });
    } => Err(error::CallFault::NoAnswer(_)), handled 0;

    lost_request_has_no_effect(net) {
        net.path_faults("a", "b").set(fault::Condition::Dropping);
    } => Err(error::CallFault::TimedOut(_)), handled 0;

    call_with_lost_answer_takes_effect(net) {
        net.path_faults("b", "a").set(fault::Condition::Dropping);
    } => Err(error::CallFault::TimedOut(_)), handled 1;

    partition_loses_messages_in_both_directions(net) {
        net.partition(&["a"], &["b"], fault::Condition::Dropping);
    } => Err(error::CallFault::TimedOut(_)), handled 0;

    slow_call_takes_effect_after_the_deadline(net) {
        net.path_faults("a", "b").set(fault::Condition::Slow(Duration::from_secs(8)));
    } => Err(error::CallFault::TimedOut(_)), handled 1;

    paused_process_handles_the_call_when_resumed(net) {
        net.process_faults("b").set(fault::Condition::Paused);
        let process = net.process_faults("b");
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(500)).await;
            process.set(fault::Condition::Up);
        });
    } => Ok(model::Ack {}), handled 1;

    paused_caller_sends_nothing(net) {
        net.process_faults("a").set(fault::Condition::Paused);
    } => Err(error::CallFault::TimedOut(_)), handled 0;
}
