//! Numbered versions: what operators are told when writes race, get lost or hang.

mod support;

use std::time::Duration;

use almondpass_config::{proposal, store};
use almondpass_peer::call::PeerCall;
use almondpass_schema::model;
use almondpass_standin::fault;
use tokio::time;
use uuid::Uuid;

const TRANSACT: &str = model::TableTransaction::PATH;

/// Versions in the table, by the limit that marks each.
async fn stored_marks(group: &support::KeeperGroup) -> Vec<u32> {
    let mut marks = Vec::new();
    for version in 1.. {
        let Some(row) = group.keepers[0].version(version).await.unwrap() else { break };
        marks.push(row.document.accounts[0].limits.queued_jobs);
    }
    marks
}

#[tokio::test(start_paused = true)]
async fn racing_operators_get_one_version_and_one_conflict() {
    // Symptom: a change accepted at the console is gone a moment later.
    // Sequence: two operators edit version 1 at two instances and accept at the same moment.
    // Cause: without a condition on the head's row the second write replaces the first unseen.
    let group = support::KeeperGroup::new(2);
    let mut base = support::marked(0, 100);
    base.document.accounts[1].limits.queued_jobs = 100;
    group.keepers[0].propose(base.clone()).await.unwrap();

    let mut first = support::draft(1, &base.document);
    first.document.accounts[0].limits.queued_jobs = 111;
    let mut second = support::draft(1, &base.document);
    second.operator = "nino".to_owned();
    second.document.accounts[1].limits.queued_jobs = 222;
    let (left, right) =
        tokio::join!(group.keepers[0].propose(first), group.keepers[1].propose(second));

    let (accepted, refused) = if left.is_ok() { (left, right) } else { (right, left) };
    assert_eq!(accepted.unwrap().version, 2);
    let Err(proposal::ProposalError::Conflict(conflict)) = refused else {
        panic!("expected a conflict, found {refused:?}");
    };
    assert_eq!((conflict.base, conflict.newest.version), (1, 2));
    assert_eq!((conflict.theirs.len(), conflict.yours.len()), (1, 1));
    assert_ne!(conflict.theirs, conflict.yours);
    assert_eq!(conflict.both, Vec::<String>::new());
    let merged = conflict.merged.accounts.iter().map(|it| it.limits.queued_jobs);
    assert_eq!(merged.take(2).collect::<Vec<_>>(), [111, 222]);
}

#[tokio::test(start_paused = true)]
async fn a_change_of_the_same_limit_is_named_and_the_draft_kept() {
    let group = support::KeeperGroup::new(1);
    let keeper = &group.keepers[0];
    keeper.propose(support::marked(0, 100)).await.unwrap();
    keeper.propose(support::marked(1, 200)).await.unwrap();
    keeper.propose(support::marked(2, 300)).await.unwrap();

    let refused = keeper.propose(support::marked(1, 999)).await;

    let Err(proposal::ProposalError::Conflict(conflict)) = refused else {
        panic!("expected a conflict, found {refused:?}");
    };
    assert_eq!(conflict.both, ["accounts[gujarat-grid].limits.queued_jobs"]);
    assert_eq!(conflict.merged.accounts[0].limits.queued_jobs, 999);
    assert_eq!(conflict.theirs[0].before.as_deref(), Some("100"));
    assert_eq!(conflict.theirs[0].after.as_deref(), Some("300"));
}

/// Strikes the next write and expects that the draft is accepted exactly once all the same.
async fn check_accepted_once(strike: fault::Fault) {
    let group = support::KeeperGroup::new(1);
    group.keepers[0].propose(support::marked(0, 1)).await.unwrap();
    group.table.faults().inject_next(TRANSACT, strike);

    let accepted = group.keepers[0].propose(support::marked(1, 2)).await.unwrap();
    time::sleep(Duration::from_secs(90)).await;

    assert_eq!(accepted.version, 2);
    assert_eq!(stored_marks(&group).await, [1, 2]);
    assert_eq!(group.keepers[0].active().version, 2);
}

macro_rules! accepted_once {
    ($($name:ident: $fault:expr,)*) => {
        $(#[tokio::test(start_paused = true)]
        async fn $name() {
            // Symptom: an operator is told of a conflict with a change of their own, or the
            // change appears twice in the history.
            // Sequence: the answer of the table to an accepted draft is lost or late.
            // Cause: the draft is sent again without knowing that it already stands.
            check_accepted_once($fault).await;
        })*
    };
}

accepted_once! {
    lost_answer_is_settled_by_reading_back: fault::Fault::AnswerLost,
    refused_write_is_sent_again: fault::Fault::Refused,
    lost_write_is_sent_again: fault::Fault::RequestLost,
    write_that_lands_after_the_read_back: fault::Fault::DelayedEffect(Duration::from_millis(150)),
    write_that_lands_after_the_repeat: fault::Fault::DelayedEffect(Duration::from_secs(30)),
    slow_write_beyond_the_deadline: fault::Fault::Slow(Duration::from_secs(4)),
}

#[tokio::test(start_paused = true)]
async fn unsettled_draft_is_known_again_when_it_is_sent_again() {
    // Symptom: an operator whose write was cut off cannot learn whether it took effect.
    // Sequence: the write takes effect, its answer is lost, and the store stays down meanwhile;
    // the operator sends the form again after it came back.
    // Cause: without the proposal's id the second sending meets its own version as a conflict.
    let group = support::KeeperGroup::new(1);
    let keeper = &group.keepers[0];
    keeper.propose(support::marked(0, 1)).await.unwrap();
    let mut proposal = support::marked(1, 2);
    proposal.proposal = Some(Uuid::now_v7());
    let faults = group.table.faults().clone();
    faults.inject_next(TRANSACT, fault::Fault::DelayedEffect(Duration::from_millis(1)));
    let breaker = tokio::spawn(async move {
        time::sleep(Duration::from_millis(2)).await;
        faults.set(fault::Condition::Refusing);
    });

    let unsettled = keeper.propose(proposal.clone()).await;
    breaker.await.unwrap();

    let Err(proposal::ProposalError::Unsettled { proposal: id, .. }) = unsettled else {
        panic!("expected an unsettled write, found {unsettled:?}");
    };
    assert_eq!(Some(id), proposal.proposal);
    group.table.faults().set(fault::Condition::Up);
    assert_eq!(keeper.propose(proposal).await.unwrap().version, 2);
    assert_eq!(stored_marks(&group).await, [1, 2]);
}

#[tokio::test(start_paused = true)]
async fn store_down_is_told_as_not_written() {
    let group = support::KeeperGroup::new(1);
    group.table.faults().set(fault::Condition::Refusing);
    let refused = group.keepers[0].propose(support::marked(0, 1)).await;
    assert!(matches!(refused, Err(proposal::ProposalError::NotWritten(_))), "{refused:?}");
}

#[tokio::test(start_paused = true)]
async fn wrong_draft_is_refused_with_all_faults() {
    let group = support::KeeperGroup::new(1);
    let mut proposal = support::marked(0, 0);
    proposal.document.objective.fragmentation = 0.9;
    let refused = group.keepers[0].propose(proposal).await;
    let Err(proposal::ProposalError::Faults(faults)) = refused else {
        panic!("expected faults, found {refused:?}");
    };
    let paths = faults.faults.iter().map(|it| it.path.as_str()).collect::<Vec<_>>();
    assert_eq!(paths, ["objective", "accounts[gujarat-grid].limits.queued_jobs"]);
    assert_eq!(group.table.committed_transactions(), 0);
}

#[tokio::test(start_paused = true)]
async fn history_pages_from_the_newest() {
    let group = support::KeeperGroup::new(1);
    for base in 0..5 {
        group.keepers[0].propose(support::marked(base, 10)).await.unwrap();
    }
    let mut pages = Vec::new();
    let mut before = None;
    loop {
        let page = group.keepers[0].history(before, 2).await.unwrap();
        pages.push(page.versions.iter().map(|it| it.version).collect::<Vec<_>>());
        before = page.before;
        if before.is_none() {
            break;
        }
    }
    assert_eq!(pages, [vec![5, 4], vec![3, 2], vec![1]]);
}

#[tokio::test(start_paused = true)]
async fn oldest_versions_leave_the_table() {
    // Symptom: the table fills with configurations that nobody will read again.
    // Sequence: thousands of changes a day for months.
    // Cause: versions are written and never taken out.
    let group = support::KeeperGroup::new(1);
    group.keepers[0].propose(support::marked(0, 1)).await.unwrap();
    let mut row = group.keepers[0].version(1).await.unwrap().unwrap();
    row.version = store::KEPT_VERSIONS;
    support::write_rows(&group.table, row.version, &row).await;

    let next = support::marked(row.version, 2);
    assert_eq!(group.keepers[0].propose(next).await.unwrap().version, row.version + 1);

    assert_eq!(group.keepers[0].version(1).await.unwrap(), None);
    let page = group.keepers[0].history(None, 10).await.unwrap();
    let versions = page.versions.iter().map(|it| it.version).collect::<Vec<_>>();
    assert_eq!(versions, [row.version + 1, row.version]);
}
