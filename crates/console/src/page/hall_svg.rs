//! The picture of a hall: racks, workers and accelerators as they stand.

use almondpass_schema::model;
use maud::{Markup, html};

use crate::page::palette;

/// Side of an accelerator.
const CELL: usize = 20;
/// Between accelerators beside each other.
const GAP: usize = 2;
/// Between lines of accelerators; holds the sign of the home block above it.
const LINE_GAP: usize = 6;
/// Thickness of the sign of a home block.
const HOME: usize = 4;
/// Accelerators in a line of a worker; they are in order from left to right, then down.
const MAX_COLUMNS: usize = 4;
/// Inside the frame of a worker.
const PADDING: usize = 5;
/// Between workers.
const WORKER_GAP: usize = 8;
/// Workers beside each other; longer racks go on in the next line.
const MAX_WORKERS_IN_LINE: usize = 8;
/// Height of a worker's label.
const LABEL: usize = 14;
/// Width of the racks' names.
const MARGIN: usize = 70;
/// A worker narrower than this shows its state by its frame alone.
const MIN_STATE_WIDTH: usize = 90;
/// Between racks beside each other.
const RACK_GAP: usize = 20;
/// Racks stand beside each other up to this width, or below each other where one is wider.
const MAX_WIDTH: usize = 1200;
/// Height of the strip that shows a rack's free runs, with the space around it.
const STRIP: usize = 22;

/// The workers of one rack, in order.
struct RackPicture<'a> {
    name: &'a str,
    workers: Vec<&'a model::WorkerView>,
}

/// Draws the hall.
pub(crate) fn drawing(
    picture: &model::HallPicture,
    palette: &palette::AccountPalette<'_>,
) -> Markup {
    let racks = racks(picture);
    let widest = racks.iter().map(RackPicture::width).max().unwrap_or(0);
    let cell_width = MARGIN + widest + RACK_GAP;
    let cell_height = racks.iter().map(RackPicture::height).max().unwrap_or(0);
    let n_columns = (MAX_WIDTH / cell_width).clamp(1, racks.len().max(1));
    let (width, height) = (n_columns * cell_width, racks.len().div_ceil(n_columns) * cell_height);
    html! {
        svg.hall viewBox=(format!("0 0 {width} {height}")) width=(width) height=(height)
            role="img" aria-label=(format!("Accelerators of {}", picture.hall)) {
            @for (index, rack) in racks.iter().enumerate() {
                @let (x, y) = (index % n_columns * cell_width, index / n_columns * cell_height);
                g transform=(format!("translate({x} {y})")) { (draw_rack(rack, palette)) }
            }
        }
    }
}

/// Explains the signs of the drawing.
pub(crate) fn legend(palette: &palette::AccountPalette<'_>) -> Markup {
    let sign = |class: &str, letter: &str| {
        html! {
            svg.sign width=(CELL) height=(CELL) {
                rect class=(class) width=(CELL) height=(CELL) rx="2" {}
                text x=(CELL / 2) y="14" { (letter) }
            }
        }
    };
    html! {
        ul.legend {
            @for account in palette.accounts() {
                li {
                    (sign(&format!("cell job {}", palette.class(&account.id)), &palette.letter(&account.id).to_string()))
                    (account.id)
                }
            }
        }
        ul.legend {
            li { (sign("cell free", "")) "free" }
            li { (sign("cell job account-other", "A")) "job" }
            li { (sign("cell request account-other", "A")) "request, lighter" }
            li { (sign("cell reserved", "")) "reserved" }
            li { (sign("cell lost", "×")) "lost" }
            li {
                svg.sign width=(CELL) height=(CELL) {
                    rect.cell.free width=(CELL) height=(CELL - HOME - 1) rx="2" {}
                    rect.home.account-0 y=(CELL - HOME) width=(CELL) height=(HOME) {}
                }
                "home block, in the account's colour"
            }
            li { svg.sign width=(CELL) height=(CELL) { rect.worker.worker-draining x="1" y="1" width="18" height="18" rx="3" {} } "draining" }
            li { svg.sign width=(CELL) height=(CELL) { rect.worker.worker-quarantined x="1" y="1" width="18" height="18" rx="3" {} } "quarantined or probing" }
            li { svg.sign width=(CELL) height=(CELL) { rect.worker.worker-lost x="1" y="1" width="18" height="18" rx="3" {} } "worker lost" }
            li {
                svg.sign width=(CELL) height=(CELL) {
                    rect.strip.free y="7" width="14" height="6" {} rect.strip.used x="14" y="7" width="6" height="6" {}
                }
                "free runs of the rack, in order"
            }
        }
    }
}

impl RackPicture<'_> {
    fn n_lines(&self) -> usize {
        self.workers.len().div_ceil(MAX_WORKERS_IN_LINE)
    }

    fn worker_width(&self) -> usize {
        let most = self.workers.iter().map(|it| it.accelerators.len()).max().unwrap_or(0);
        most.clamp(1, MAX_COLUMNS) * (CELL + GAP) - GAP + 2 * PADDING
    }

    fn worker_height(&self) -> usize {
        let most = self.workers.iter().map(|it| it.accelerators.len()).max().unwrap_or(0);
        most.div_ceil(MAX_COLUMNS).max(1) * (CELL + LINE_GAP) - LINE_GAP + HOME + 2 * PADDING
    }

    fn width(&self) -> usize {
        self.workers.len().min(MAX_WORKERS_IN_LINE) * (self.worker_width() + WORKER_GAP)
    }

    fn height(&self) -> usize {
        self.n_lines() * (self.worker_height() + LABEL + WORKER_GAP) + STRIP
    }
}

fn racks(picture: &model::HallPicture) -> Vec<RackPicture<'_>> {
    let mut racks = Vec::<RackPicture<'_>>::new();
    for worker in &picture.workers {
        match racks.last_mut() {
            Some(rack) if rack.name == worker.rack => rack.workers.push(worker),
            _ => racks.push(RackPicture { name: &worker.rack, workers: vec![worker] }),
        }
    }
    racks
}

fn draw_rack(rack: &RackPicture<'_>, palette: &palette::AccountPalette<'_>) -> Markup {
    let step_x = rack.worker_width() + WORKER_GAP;
    let step_y = rack.worker_height() + LABEL + WORKER_GAP;
    let place = |index: usize| {
        let x = MARGIN + index % MAX_WORKERS_IN_LINE * step_x;
        (x, index / MAX_WORKERS_IN_LINE * step_y)
    };
    html! {
        text.rack x="0" y=(LABEL + 16) { (rack.name) }
        @for (index, worker) in rack.workers.iter().enumerate() {
            (draw_worker(worker, place(index), rack, palette))
        }
        (draw_strip(rack, rack.n_lines() * step_y))
    }
}

fn draw_worker(
    worker: &model::WorkerView,
    (x, y): (usize, usize),
    rack: &RackPicture<'_>,
    palette: &palette::AccountPalette<'_>,
) -> Markup {
    let number = worker.worker.rsplit('-').next().unwrap_or_default();
    let label = match worker.state {
        model::WorkerState::Live => number.to_owned(),
        _ if rack.worker_width() < MIN_STATE_WIDTH => number.to_owned(),
        state => format!("{number} {state}"),
    };
    html! {
        g transform=(format!("translate({x} {y})")) {
            title { (worker.worker) ", " (worker.state) ", " (worker.slots_used) " slots used" }
            text.number x="1" y=(LABEL - 3) { (label) }
            rect class=(format!("worker worker-{}", worker.state))
                y=(LABEL) width=(rack.worker_width()) height=(rack.worker_height()) rx="3" {}
            @for (index, view) in worker.accelerators.iter().enumerate() {
                (draw_accelerator(view, index, palette))
            }
        }
    }
}

fn draw_accelerator(
    view: &model::AcceleratorView,
    index: usize,
    palette: &palette::AccountPalette<'_>,
) -> Markup {
    let x = PADDING + index % MAX_COLUMNS * (CELL + GAP);
    let y = LABEL + PADDING + index / MAX_COLUMNS * (CELL + LINE_GAP);
    let colour = view.account.as_deref().map(|it| palette.class(it)).unwrap_or_default();
    let letter = match (&view.account, view.state) {
        (Some(account), _) => palette.letter(account).to_string(),
        (None, model::AcceleratorState::Lost) => "×".to_owned(),
        (None, _) => String::new(),
    };
    let home = view.home_of.as_deref().map(|it| it.split('/').next().unwrap_or(it));
    html! {
        g transform=(format!("translate({x} {y})")) {
            title { (description(view, index)) }
            rect class=(format!("cell {} {colour}", view.state)) width=(CELL) height=(CELL) rx="2" {}
            @if !letter.is_empty() { text x=(CELL / 2) y="14" { (letter) } }
            @if let Some(account) = home {
                rect class=(format!("home {}", palette.class(account)))
                    y=(CELL + 1) width=(CELL) height=(HOME) {}
            }
        }
    }
}

fn description(view: &model::AcceleratorView, index: usize) -> String {
    let mut text = format!("accelerator {index}: {}", view.state);
    if let Some(account) = &view.account {
        text.push_str(&format!(" of {account}"));
    }
    if let Some(job) = &view.job {
        text.push_str(&format!(", job {job}"));
    }
    if let Some(shape) = &view.home_of {
        text.push_str(&format!(", home block of {shape}"));
    }
    text
}

/// The rack's accelerators in one line, so that a free run across workers is seen as one.
fn draw_strip(rack: &RackPicture<'_>, top: usize) -> Markup {
    // What is free on a worker that takes no work is of no use to a gang.
    let free = rack.workers.iter().flat_map(|worker| {
        let live = worker.state == model::WorkerState::Live;
        worker.accelerators.iter().map(move |it| live && it.state == model::AcceleratorState::Free)
    });
    let runs = runs(&free.collect::<Vec<_>>());
    let n_accelerators = runs.iter().map(|it| it.length).sum::<usize>().max(1);
    let width = rack.width() - WORKER_GAP;
    let longest = runs.iter().filter(|it| it.free).map(|it| it.length).max().unwrap_or(0);
    html! {
        @for run in &runs {
            rect class=(if run.free { "strip free" } else { "strip used" })
                x=(MARGIN + run.start * width / n_accelerators) y=(top)
                width=(run.length * width / n_accelerators) height="6" {
                title { (run.length) @if run.free { " free" } @else { " in use" } }
            }
        }
        text.number x="0" y=(top + 7) { "run " (longest) }
    }
}

struct StripRun {
    free: bool,
    start: usize,
    length: usize,
}

fn runs(free: &[bool]) -> Vec<StripRun> {
    let mut start = 0;
    let chunks = free.chunk_by(|left, right| left == right);
    let runs = chunks.map(|it| {
        let run = StripRun { free: it[0], start, length: it.len() };
        start += it.len();
        run
    });
    runs.collect()
}
