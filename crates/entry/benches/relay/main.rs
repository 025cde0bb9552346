//! What an entry costs: requests per second on one core and added latency, against the same
//! upstream called directly with the same client, and against a bare relay on the same HTTP
//! library; the memory that a large body takes; and what overload leaves. All in one run, for the machine's state
//! differs between runs.
//!
//! `cargo bench -p almondpass-entry --bench relay`

mod granting;
mod large_body;
mod load;
mod overload;
mod parties;

use std::time::Duration;

/// Connections of the client.
const CONNECTIONS: usize = 32;
/// Each measurement runs for this long.
const SPAN: Duration = Duration::from_secs(3);
/// Measurements of each pair; the median is shown.
const ROUNDS: usize = 3;

fn main() {
    let upstream = parties::start_upstream(Duration::ZERO);
    let bare = parties::start_bare_relay(upstream.address);
    let entry = parties::start_entry(upstream.address, None);
    let parties = [("direct", upstream), ("bare relay", bare), ("entry", entry)];
    let rate = saturated(&parties);
    half_load(&parties, rate / 2.0);
    large_body::report(parties[2].1.address);
    let slow = parties::start_upstream(overload::SERVICE_TIME);
    overload::report(&parties::start_entry(slow.address, Some(overload::PLACES)));
}

/// Returns the entry's rate.
fn saturated(parties: &[(&str, parties::Party); 3]) -> f64 {
    println!("saturated, {CONNECTIONS} connections, one core each, 512-byte bodies both ways:");
    let mut rates = [const { Vec::new() }; 3];
    let mut costs = [const { Vec::new() }; 3];
    for _ in 0..ROUNDS {
        for (position, (_, party)) in parties.iter().enumerate() {
            let before = party.cpu();
            let n_answers = load::saturate(party.address, CONNECTIONS, SPAN);
            let cpu = party.cpu() - before;
            rates[position].push(n_answers as f64 / SPAN.as_secs_f64());
            costs[position].push(cpu.as_secs_f64() * 1e6 / n_answers as f64);
        }
    }
    let (rates, costs) = (rates.map(median), costs.map(median));
    for (position, (name, _)) in parties.iter().enumerate() {
        let (rate, cost) = (rates[position], costs[position]);
        let (share, cpu_share) = (100.0 * rate / rates[0], 100.0 * costs[0] / cost);
        println!(
            "  {name:<11} {rate:>7.0} requests/s ({share:>5.1}% of direct)  \
             {cost:>5.1} us of processor time a request ({cpu_share:>5.1}%)"
        );
    }
    rates[2]
}

fn half_load(parties: &[(&str, parties::Party); 3], rate: f64) {
    println!("at half the entry's load, {rate:.0} requests/s, microseconds:");
    let mut medians = [const { Vec::new() }; 3];
    let mut tails = [const { Vec::new() }; 3];
    for _ in 0..ROUNDS {
        for (position, (_, party)) in parties.iter().enumerate() {
            let latencies = load::paced(party.address, CONNECTIONS, rate, SPAN);
            medians[position].push(latencies.value_at_quantile(0.5) as f64);
            tails[position].push(latencies.value_at_quantile(0.99) as f64);
        }
    }
    let (medians, tails) = (medians.map(median), tails.map(median));
    for (position, (name, _)) in parties.iter().enumerate() {
        let (half, tail) = (medians[position], tails[position]);
        let (added_half, added_tail) = (half - medians[0], tail - tails[0]);
        println!(
            "  {name:<11} median {half:>6.0} (+{added_half:.0})  99th {tail:>6.0} (+{added_tail:.0})"
        );
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
