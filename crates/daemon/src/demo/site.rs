//! What the two sites are and what their callers do, scaled to a run of seconds.

use std::time::Duration;

use almondpass_config::document;
use almondpass_schema::{ids, model, time};

/// A deployment to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum SiteName {
    /// Saurashtra Dielectric Laboratories.
    Laboratories,
    /// Georgian Scrap Weighbridge Association.
    Association,
}

/// A site with its traffic.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// The configuration document.
    pub document: model::ConfigDocument,
    /// Requests, by account and class.
    pub requests: Vec<RequestStream>,
    /// Gangs, by account.
    pub gangs: Vec<GangStream>,
    /// Guarantees that are claimed, in order.
    pub claims: Vec<GuaranteeClaim>,
}

/// Requests of one account and class.
#[derive(Clone, Debug)]
pub struct RequestStream {
    /// Who sends them.
    pub account: ids::AccountId,
    /// Their class.
    pub class: ids::ClassName,
    /// Arrivals a second, on average.
    pub per_second: f64,
    /// How long the upstream works on one, on average.
    pub run: Duration,
}

/// Gangs of one account.
#[derive(Clone, Debug)]
pub struct GangStream {
    /// Who submits them.
    pub account: ids::AccountId,
    /// Their class.
    pub class: ids::ClassName,
    /// Gangs at the beginning, all at once.
    pub burst: u32,
    /// Arrivals a second after it, on average.
    pub per_second: f64,
    /// Tasks, each with one accelerator.
    pub tasks: u32,
    /// How long one runs, on average.
    pub run: Duration,
}

/// A claim of a guaranteed shape.
#[derive(Clone, Debug)]
pub struct GuaranteeClaim {
    /// Whose it is.
    pub account: ids::AccountId,
    /// Its name.
    pub guarantee: ids::GuaranteeName,
    /// Class of the gang that uses it.
    pub class: ids::ClassName,
    /// Accelerators of the shape.
    pub accelerators: u32,
    /// How close they must lie.
    pub adjacency: model::Adjacency,
}

/// Bound on the reclaim in the demo; the examples allow for checkpoints of real work.
const RECLAIM_BOUND: Duration = Duration::from_secs(5);
/// What a victim gets for its checkpoint in the demo.
const CHECKPOINT_GRACE: Duration = Duration::from_millis(1500);

const LABORATORIES: &str = include_str!("../../../../examples/laboratories.config.yaml");
const ASSOCIATION: &str = include_str!("../../../../examples/association.config.yaml");

impl SitePlan {
    /// The plan of a site.
    pub fn of(site: SiteName) -> anyhow::Result<SitePlan> {
        match site {
            SiteName::Laboratories => laboratories(),
            SiteName::Association => association(),
        }
    }

    /// Key of an account, as the comment in the example says.
    pub fn account_key(account: &str) -> String {
        format!("{account}-example-key")
    }
}

fn laboratories() -> anyhow::Result<SitePlan> {
    let document = demo_document("laboratories.config.yaml", LABORATORIES)?;
    let requests = vec![
        requests("gujarat-grid", "diagnosis", 16.0, 120),
        requests("gujarat-grid", "report-check", 16.0, 60),
        requests("gujarat-grid", "certificate", 5.0, 60),
        requests("girnar-discom", "diagnosis", 4.0, 120),
        requests("girnar-discom", "report-check", 4.0, 60),
        requests("kutch-substations", "diagnosis", 3.0, 120),
        requests("kutch-substations", "certificate", 3.0, 60),
        requests("narmada-works", "report-check", 3.0, 60),
    ];
    let gangs = vec![
        gangs("gujarat-grid", "ageing-trend", 14, 1.5, 32, 7),
        gangs("girnar-discom", "ageing-trend", 1, 0.2, 16, 4),
    ];
    let claims = vec![
        claim(&document, "kutch-substations", "diagnosis", "diagnosis-run")?,
        claim(&document, "narmada-works", "diagnosis", "diagnosis-run")?,
        claim(&document, "girnar-discom", "ageing", "ageing-trend")?,
    ];
    Ok(SitePlan { document, requests, gangs, claims })
}

fn association() -> anyhow::Result<SitePlan> {
    let document = demo_document("association.config.yaml", ASSOCIATION)?;
    let requests = vec![
        requests("rustavi-yards", "gate-ticket", 12.0, 80),
        requests("rustavi-yards", "plate-check", 12.0, 50),
        requests("rustavi-yards", "metal-class", 12.0, 100),
        requests("gardabani-yards", "gate-ticket", 5.0, 80),
        requests("gardabani-yards", "metal-class", 5.0, 100),
        requests("marneuli-yards", "gate-ticket", 3.0, 80),
        requests("marneuli-yards", "plate-check", 3.0, 50),
        requests("bolnisi-yards", "gate-ticket", 3.0, 80),
    ];
    let gangs = vec![
        gangs("rustavi-yards", "reweigh-audit", 14, 1.5, 32, 7),
        gangs("gardabani-yards", "reweigh-audit", 1, 0.2, 16, 4),
    ];
    let claims = vec![
        claim(&document, "marneuli-yards", "tickets", "reweigh-audit")?,
        claim(&document, "bolnisi-yards", "tickets", "reweigh-audit")?,
        claim(&document, "gardabani-yards", "audit", "reweigh-audit")?,
    ];
    Ok(SitePlan { document, requests, gangs, claims })
}

/// The example with bounds that fit a run of seconds.
fn demo_document(name: &str, text: &str) -> anyhow::Result<model::ConfigDocument> {
    let mut document = document::check(name, text)?;
    document.bounds.reclaim = time::TimeSpan(RECLAIM_BOUND);
    document.bounds.checkpoint_grace = time::TimeSpan(CHECKPOINT_GRACE);
    Ok(document)
}

fn requests(account: &str, class: &str, per_second: f64, run_millis: u64) -> RequestStream {
    RequestStream {
        account: account.to_owned(),
        class: class.to_owned(),
        per_second,
        run: Duration::from_millis(run_millis),
    }
}

fn gangs(
    account: &str,
    class: &str,
    burst: u32,
    per_second: f64,
    tasks: u32,
    run_seconds: u64,
) -> GangStream {
    GangStream {
        account: account.to_owned(),
        class: class.to_owned(),
        burst,
        per_second,
        tasks,
        run: Duration::from_secs(run_seconds),
    }
}

fn claim(
    document: &model::ConfigDocument,
    account: &str,
    guarantee: &str,
    class: &str,
) -> anyhow::Result<GuaranteeClaim> {
    let accounts = document.accounts.iter().filter(|it| it.id == account);
    let shape = accounts.flat_map(|it| &it.guarantees).find(|it| it.name == guarantee);
    let Some(shape) = shape else {
        anyhow::bail!("expected a guarantee {guarantee} of {account} in the example, found none");
    };
    Ok(GuaranteeClaim {
        account: account.to_owned(),
        guarantee: guarantee.to_owned(),
        class: class.to_owned(),
        accelerators: shape.accelerators,
        adjacency: shape.adjacency,
    })
}
