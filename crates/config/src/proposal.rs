//! Making an operator's draft the newest version.

use std::sync::Arc;
use std::time::Duration;

use almondpass_ports::{clock, table};
use almondpass_schema::{ids, model};
use backon::{BackoffBuilder, ExponentialBuilder};
use thiserror::Error;
use tokio::time;
use uuid::Uuid;

use crate::active;
use crate::changes;
use crate::document;
use crate::fault;
use crate::former_halls;
use crate::history;
use crate::merge;
use crate::rules;
use crate::store;

/// First pause before an unsettled write is looked at again.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Looks at an unsettled write before the operator is told that it is unsettled.
const MAX_ATTEMPTS: usize = 6;
/// Longest note of an operator, in characters.
const MAX_NOTE_CHARS: usize = 1000;

/// Why a draft is not the newest version.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ProposalError {
    /// The draft is wrong; nothing was written.
    #[error(transparent)]
    Faults(#[from] fault::ConfigFaults),
    /// Another operator was first; nothing was written.
    #[error("expected version {} to be the newest, found version {}", .0.base, .0.newest.version)]
    Conflict(Box<model::ConfigConflict>),
    /// The table service could not be asked; nothing was written.
    #[error("the draft was not written: {0}")]
    NotWritten(store::StoreFault),
    /// The write was sent and the answer lost. It may have taken effect or may yet: the same
    /// proposal sent again finds out, since its id is kept with the version.
    #[error("proposal {proposal} may or may not be accepted, send it again: {fault}")]
    Unsettled {
        /// Id of the proposal.
        proposal: ids::ProposalId,
        /// What went wrong last.
        fault: store::StoreFault,
    },
}

impl ProposalError {
    /// Its kind, for metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            ProposalError::Faults(_) => "faults",
            ProposalError::Conflict(_) => "conflict",
            ProposalError::NotWritten(_) => "not_written",
            ProposalError::Unsettled { .. } => "unsettled",
        }
    }
}

/// Writes the draft as the version after its base. A lost answer is settled by reading back: the
/// version's row carries the proposal's id, so its author knows it again, and the write can be
/// repeated, since only one of both can find the head unchanged. `in_force` is the configuration
/// in force here, most often the base itself.
pub(crate) async fn accept<T: table::TableService>(
    store: &store::ConfigStore<T>,
    clock: &clock::WallClock,
    in_force: &active::ActiveConfig,
    proposal: model::ConfigProposal,
) -> Result<model::ConfigRow, ProposalError> {
    document::check_size("the draft", &proposal.document)?;
    rules::check("the draft", &proposal.document)?;
    let row = model::ConfigRow {
        version: proposal.base + 1,
        accepted_at: clock.now(),
        operator: proposal.operator,
        note: proposal.note.chars().take(MAX_NOTE_CHARS).collect(),
        proposal: proposal.proposal.unwrap_or_else(Uuid::now_v7),
        document: proposal.document,
    };
    let drafted = row.document.clone();
    let mut progress =
        WriteProgress { may_have_written: false, is_filled: false, in_force, drafted, row };
    let mut pauses = pauses();
    loop {
        let fault = match progress.attempt(store).await {
            WriteStep::Accepted => return Ok(progress.row),
            WriteStep::Failed(error) => return Err(*error),
            WriteStep::Unsettled(fault) => fault,
        };
        let Some(pause) = pauses.next() else {
            return Err(progress.given_up(fault));
        };
        time::sleep(pause).await;
    }
}

/// One draft on its way into the table.
struct WriteProgress<'a> {
    may_have_written: bool,
    /// Whether the row has the former halls that the draft lacks.
    is_filled: bool,
    in_force: &'a active::ActiveConfig,
    /// The document as the operator sent it.
    drafted: model::ConfigDocument,
    row: model::ConfigRow,
}

enum WriteStep {
    Accepted,
    Failed(Box<ProposalError>),
    Unsettled(store::StoreFault),
}

impl WriteProgress<'_> {
    async fn attempt<T: table::TableService>(
        &mut self,
        store: &store::ConfigStore<T>,
    ) -> WriteStep {
        let head = match store.head().await {
            Ok(head) => head,
            Err(fault) => return WriteStep::Unsettled(fault),
        };
        if self.row.version <= head.version {
            return self.compare(store, head.version).await;
        }
        if head.version + 1 < self.row.version {
            // The base was in force somewhere, so it is in the table: this read is stale.
            return WriteStep::Unsettled(stale_read(head.version, self.row.version - 1));
        }
        if let Err(step) = self.fill(store).await {
            return step;
        }
        match store.append(head, &self.row).await {
            store::StoredDraft::Committed => WriteStep::Accepted,
            store::StoredDraft::Raced => match store.head().await {
                Ok(head) if self.row.version <= head.version => {
                    self.compare(store, head.version).await
                }
                Ok(head) => WriteStep::Unsettled(stale_read(head.version, self.row.version)),
                Err(fault) => WriteStep::Unsettled(fault),
            },
            store::StoredDraft::NotWritten(fault) => WriteStep::Unsettled(fault),
            store::StoredDraft::Unanswered(fault) => {
                self.may_have_written = true;
                WriteStep::Unsettled(fault)
            }
        }
    }

    /// Adds former halls to the row, which takes the document that the draft is to replace.
    async fn fill<T: table::TableService>(
        &mut self,
        store: &store::ConfigStore<T>,
    ) -> Result<(), WriteStep> {
        if self.is_filled {
            return Ok(());
        }
        let before = self.document_before(store).await.map_err(WriteStep::Unsettled)?;
        let filled = former_halls::keep_homes(&before, self.drafted.clone(), self.row.accepted_at)
            .and_then(|it| document::check_size("the draft", &it).map(|()| it));
        self.row.document = filled.map_err(|it| WriteStep::Failed(Box::new(it.into())))?;
        self.is_filled = true;
        Ok(())
    }

    /// The document of the base. Where this release cannot read it, the one in force here stands
    /// for it: operators must be able to replace a version that half of the instances refuse.
    async fn document_before<T: table::TableService>(
        &self,
        store: &store::ConfigStore<T>,
    ) -> Result<Arc<model::ConfigDocument>, store::StoreFault> {
        let base = self.row.version - 1;
        if base == self.in_force.version {
            return Ok(Arc::clone(&self.in_force.document));
        }
        if base == 0 {
            return Ok(active::ActiveConfig::none().document);
        }
        match store.version(base).await {
            Ok(Some(row)) => Ok(Arc::new(row.document)),
            Ok(None) => Err(stale_read(base - 1, base)),
            Err(store::StoreFault::Unreadable { .. }) => Ok(Arc::clone(&self.in_force.document)),
            Err(fault) => Err(fault),
        }
    }

    /// Looks whose the version is that stands where the draft was to go.
    async fn compare<T: table::TableService>(
        &mut self,
        store: &store::ConfigStore<T>,
        newest: ids::ConfigVersion,
    ) -> WriteStep {
        let there = match store.version(self.row.version).await {
            Ok(Some(there)) => there,
            Ok(None) => {
                return WriteStep::Unsettled(stale_read(self.row.version - 1, self.row.version));
            }
            Err(fault) => return WriteStep::Unsettled(fault),
        };
        match self.is_own(store, &there).await {
            Ok(true) => {
                self.row = there;
                WriteStep::Accepted
            }
            Ok(false) => match conflict(store, self.row.version - 1, &self.drafted, newest).await {
                Ok(conflict) => {
                    WriteStep::Failed(Box::new(ProposalError::Conflict(Box::new(conflict))))
                }
                Err(fault) => WriteStep::Unsettled(fault),
            },
            Err(fault) => WriteStep::Unsettled(fault),
        }
    }

    /// An id alone could be used for another draft after an edit, and the author would be told
    /// that the edit was accepted. What was filled in depends on the time, so that it is filled
    /// in here as of the time of the version that is there.
    async fn is_own<T: table::TableService>(
        &self,
        store: &store::ConfigStore<T>,
        there: &model::ConfigRow,
    ) -> Result<bool, store::StoreFault> {
        if there.proposal != self.row.proposal {
            return Ok(false);
        }
        if there.document == self.drafted {
            return Ok(true);
        }
        let before = self.document_before(store).await?;
        let filled = former_halls::keep_homes(&before, self.drafted.clone(), there.accepted_at);
        Ok(filled.is_ok_and(|it| it == there.document))
    }

    fn given_up(&self, fault: store::StoreFault) -> ProposalError {
        if self.may_have_written {
            return ProposalError::Unsettled { proposal: self.row.proposal, fault };
        }
        ProposalError::NotWritten(fault)
    }
}

/// Both changes side by side. `draft` is as the operator sent it: an entry filled in for the base
/// would be refused on top of the newest version, and its operator never wrote it.
async fn conflict<T: table::TableService>(
    store: &store::ConfigStore<T>,
    base: ids::ConfigVersion,
    draft: &model::ConfigDocument,
    newest: ids::ConfigVersion,
) -> Result<model::ConfigConflict, store::StoreFault> {
    let newest_row = store.version(newest).await?;
    let newest_row = newest_row.ok_or_else(|| stale_read(newest - 1, newest))?;
    let base_row = if base == 0 { None } else { store.version(base).await? };
    let theirs = newest_row.document.clone();
    let newest = history::summary(newest_row);
    // Before the first version there is nothing to compare with: the other's document stands for
    // the base, and the draft's changes are told against it.
    let base_document = base_row.map_or_else(|| theirs.clone(), |it| it.document);
    let merged = merge::carry_over(&base_document, &theirs, draft);
    Ok(model::ConfigConflict {
        base,
        newest,
        theirs: changes::between(&base_document, &theirs),
        yours: changes::between(&base_document, draft),
        both: merged.both,
        merged: merged.document,
        document: theirs,
    })
}

fn stale_read(found: ids::ConfigVersion, expected: ids::ConfigVersion) -> store::StoreFault {
    store::StoreFault::Stale { expected, found }
}

fn pauses() -> impl Iterator<Item = Duration> {
    ExponentialBuilder::default()
        .with_min_delay(FIRST_PAUSE)
        .with_max_times(MAX_ATTEMPTS - 1)
        .with_jitter()
        .build()
}
