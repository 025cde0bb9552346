//! Changes of an upstream's halls leave every key that is still accepted its home.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_config::proposal;
use almondpass_membership::home;
use almondpass_peer::call::PeerCall;
use almondpass_schema::{model, time as wall};
use almondpass_standin::fault;
use tokio::time;
use uuid::Uuid;

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3600);
/// The example's `idempotency_window`.
const WINDOW: Duration = Duration::from_secs(24 * 3600);
/// How far ahead of ours a caller's clock may be for its keys to be accepted.
const CLOCK_SLACK: Duration = Duration::from_secs(600);

/// A site with one keeper, and the wall clock that the keeper has.
struct HallSite {
    group: support::KeeperGroup,
    clock: almondpass_ports::clock::WallClock,
}

impl HallSite {
    async fn new() -> HallSite {
        let clock = support::wall_clock();
        let site = HallSite { group: support::KeeperGroup::new(1), clock };
        site.keeper().propose(support::marked(0, 1)).await.unwrap();
        site
    }

    fn keeper(&self) -> &support::Keeper {
        &self.group.keepers[0]
    }

    fn upstream(&self) -> model::UpstreamSpec {
        self.keeper().active().document.upstreams[0].clone()
    }

    /// A draft on top of the version in force, with the upstream edited.
    fn draft(&self, edit: impl FnOnce(&mut model::UpstreamSpec)) -> model::ConfigProposal {
        let active = self.keeper().active();
        let mut draft = support::draft(active.version, &active.document);
        edit(&mut draft.document.upstreams[0]);
        draft
    }

    fn move_to(&self, halls: &[&str]) -> model::ConfigProposal {
        self.draft(|it| it.halls = halls.iter().map(|&it| it.to_owned()).collect())
    }

    /// Accepts the draft and expects that no key which is accepted around now changes its home.
    async fn accept(&self, draft: model::ConfigProposal) {
        let (before, now) = (self.upstream(), self.clock.now());
        let accepted = self.keeper().propose(draft).await;
        accepted.unwrap_or_else(|error| panic!("{error}"));
        let after = self.upstream();
        let mut made_at = now - WINDOW;
        while made_at < now + CLOCK_SLACK + MINUTE {
            // The home is found by rendezvous, in which the order of the halls plays no part.
            let [before, after] = [&before, &after].map(|it| {
                home::halls_at(it, made_at).iter().map(String::as_str).collect::<BTreeSet<_>>()
            });
            assert_eq!(before, after, "keys made at {made_at}");
            made_at = made_at + Duration::from_secs(10);
        }
    }

    /// Proposes the draft and returns what the operator is told.
    async fn refusal(&self, draft: model::ConfigProposal) -> String {
        match self.keeper().propose(draft).await {
            Err(proposal::ProposalError::Faults(faults)) => faults.to_string(),
            other => panic!("expected faults, found {other:?}"),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn moved_upstream_leaves_keys_their_home() {
    // Symptom: work that is not repeatable runs twice.
    // Sequence: a request runs in its key's home hall and its answer is lost; an operator changes
    // the upstream's halls; the caller sends the request again.
    // Cause: the key falls to a hall of the new set, which has no record of it.
    let site = HallSite::new().await;
    site.accept(site.move_to(&["vadodara", "rajkot"])).await;
    time::sleep(HOUR).await;
    site.accept(site.move_to(&["bharuch"])).await;
    time::sleep(MINUTE).await;
    // Back again before the last set has taken over.
    site.accept(site.move_to(&["vadodara", "rajkot"])).await;
    time::sleep(HOUR).await;
    assert_eq!(home::halls_at(&site.upstream(), site.clock.now()), ["vadodara", "rajkot"]);
}

#[tokio::test(start_paused = true)]
async fn former_sets_go_with_the_next_change_after_their_window() {
    // Symptom: the document grows with every change until it is too large.
    // Sequence: an upstream's halls change each week.
    // Cause: former sets are added and never taken out.
    let site = HallSite::new().await;
    site.accept(site.move_to(&["vadodara", "rajkot"])).await;
    time::sleep(WINDOW + HOUR).await;
    site.accept(site.move_to(&["bharuch"])).await;
    assert_eq!(site.upstream().former_halls.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn unchanged_sets_are_left_as_written() {
    let site = HallSite::new().await;
    site.accept(site.draft(|it| it.halls.reverse())).await;
    assert_eq!(site.upstream().former_halls, []);

    let until = site.clock.now() + HOUR;
    let halls = site.upstream().halls;
    let own = model::FormerHalls { halls, until };
    let mut draft = site.move_to(&["rajkot"]);
    draft.document.upstreams[0].former_halls.push(own.clone());
    site.accept(draft).await;
    assert_eq!(site.upstream().former_halls, [own]);
}

macro_rules! refused {
    ($($name:ident: $edit:expr;)*) => {
        $(#[tokio::test(start_paused = true)]
        async fn $name() {
            // Symptom: work that is not repeatable runs twice.
            // Sequence: an hour after a change of halls somebody tidies `former_halls`, or
            // applies a document from before the change; a caller sends an old request again.
            // Cause: the key's home is sought among halls that never heard of it.
            let site = HallSite::new().await;
            site.accept(site.move_to(&["rajkot"])).await;
            time::sleep(HOUR).await;
            let told = site.refusal(site.draft($edit)).await;
            assert!(told.contains("upstreams[oil-analysis].former_halls"), "{told}");
            assert!(told.contains("halls: [vadodara, rajkot, bharuch], until: "), "{told}");
            assert_eq!(site.keeper().active().version, 2);
        })*
    };
}

refused! {
    removed_entry_is_refused: |it| it.former_halls.clear();
    shortened_entry_is_refused: |it| it.former_halls[0].until = wall::WallTime::default();
    changed_entry_is_refused: |it| drop(it.former_halls[0].halls.pop());
    removed_entry_is_refused_with_another_move: |it| {
        it.halls = vec!["bharuch".to_owned()];
        it.former_halls.clear();
    };
}

#[tokio::test(start_paused = true)]
async fn moved_upstream_is_known_again_when_it_is_sent_again() {
    // Symptom: an operator is told of a conflict with a change of their own.
    // Sequence: the write of a draft that moves an upstream takes effect, its answer is lost, and
    // the same draft is sent again a minute later.
    // Cause: the stored document has a former set that the draft has not, with a time in it.
    let site = HallSite::new().await;
    let mut draft = site.move_to(&["rajkot"]);
    draft.proposal = Some(Uuid::now_v7());
    let faults = site.group.table.faults();
    faults.inject_next(model::TableTransaction::PATH, fault::Fault::AnswerLost);
    assert_eq!(site.keeper().propose(draft.clone()).await.unwrap().version, 2);
    let stored = site.keeper().version(2).await.unwrap().unwrap();
    assert_eq!(stored.document, *site.keeper().active().document);

    time::sleep(MINUTE).await;
    assert_eq!(site.keeper().propose(draft.clone()).await.unwrap().version, 2);
    // An edit under the same id is another draft.
    draft.document.upstreams[0].halls = vec!["bharuch".to_owned()];
    let edited = site.keeper().propose(draft).await;
    assert!(matches!(edited, Err(proposal::ProposalError::Conflict(_))), "{edited:?}");
}

#[tokio::test(start_paused = true)]
async fn racing_moves_are_merged_without_what_was_filled_in() {
    // Symptom: a merged draft is refused for an entry that its operator never wrote.
    // Sequence: the table refuses the write of one operator's move, another's move is accepted
    // before the next try; the first operator accepts the merge offered some minutes later.
    // Cause: the draft in the conflict has the entry that was filled in before the write.
    let site = HallSite::new().await;
    let (first, second) = (site.move_to(&["rajkot"]), site.move_to(&["bharuch"]));
    site.group.table.faults().inject_next(model::TableTransaction::PATH, fault::Fault::Refused);
    let keeper = site.keeper().clone();
    let waiting = tokio::spawn(async move { keeper.propose(second).await });
    time::sleep(Duration::from_millis(10)).await;
    assert_eq!(site.keeper().propose(first).await.unwrap().version, 2);
    let refused = waiting.await.unwrap();
    let Err(proposal::ProposalError::Conflict(conflict)) = refused else {
        panic!("expected a conflict, found {refused:?}");
    };
    let paths = conflict.yours.iter().map(|it| it.path.as_str()).collect::<BTreeSet<_>>();
    assert_eq!(paths, BTreeSet::from(["upstreams[oil-analysis].halls"]));

    time::sleep(5 * MINUTE).await;
    let mut merged = support::draft(2, &conflict.merged);
    merged.document.upstreams[0].halls = vec!["bharuch".to_owned()];
    site.accept(merged).await;
}
