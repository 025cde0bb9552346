//! Calls over the fake network.

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

/// Counts the hand-overs that it takes, each in a second.
#[derive(Clone, Default)]
struct HandOverService {
    taken: Arc<AtomicU32>,
}

impl PeerService for HandOverService {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        assert_eq!(path, model::HandOver::PATH);
        dispatch::answer(&body, async |_: model::HandOver| {
            time::sleep(Duration::from_secs(1)).await;
            self.taken.fetch_add(1, Ordering::SeqCst);
            model::Ack {}
        })
        .await
    }
}

async fn call(net: &net::FakeNet) -> Result<model::Ack, error::CallFault> {
    let call = model::HandOver { hall: "vadodara".to_owned(), epoch: 1 };
    net.link("a").call(&"b".to_owned(), call, DEADLINE).await.map_err(|it| it.fault)
}

/// Makes one call from `a` to `b` and tells what its caller learnt, and how often it was taken a
/// minute later.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($net:ident) $fault:block => $learnt:pat, taken $taken:literal;)*) => {
        $($(#[$doc])* #[tokio::test(start_paused = true)]
        async fn $name() {
            let $net = net::FakeNet::new();
            let service = HandOverService::default();
            $net.register("b", service.clone());
            $fault
            let learnt = call(&$net).await;
            assert!(matches!(learnt, $learnt), "{learnt:?}");
            time::sleep(Duration::from_secs(60)).await;
            assert_eq!(service.taken.load(Ordering::SeqCst), $taken);
        })*
    };
}

cases! {
    call_is_answered(net) {} => Ok(model::Ack {}), taken 1;

    unknown_address_refuses(net) { net.crash("b"); } => Err(error::CallFault::NotSent(_)), taken 0;

    process_that_dies_breaks_its_calls_off(net) {
        let dying = net.clone();
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(500)).await;
            dying.crash("b");
        });
    } => Err(error::CallFault::NoAnswer(_)), taken 0;

    lost_request_has_no_effect(net) {
        net.path_faults("a", "b").set(fault::Condition::Dropping);
    } => Err(error::CallFault::TimedOut(_)), taken 0;

    lost_answer_has_had_its_effect(net) {
        net.path_faults("b", "a").set(fault::Condition::Dropping);
    } => Err(error::CallFault::TimedOut(_)), taken 1;

    partition_loses_both_ways(net) {
        net.partition(&["a"], &["b"], fault::Condition::Dropping);
    } => Err(error::CallFault::TimedOut(_)), taken 0;

    slow_answer_has_its_effect_after_the_deadline(net) {
        net.path_faults("a", "b").set(fault::Condition::Slow(Duration::from_secs(8)));
    } => Err(error::CallFault::TimedOut(_)), taken 1;

    paused_process_takes_the_call_when_it_wakes(net) {
        net.process_faults("b").set(fault::Condition::Paused);
        let process = net.process_faults("b");
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(500)).await;
            process.set(fault::Condition::Up);
        });
    } => Ok(model::Ack {}), taken 1;

    paused_caller_sends_nothing(net) {
        net.process_faults("a").set(fault::Condition::Paused);
    } => Err(error::CallFault::TimedOut(_)), taken 0;
}
