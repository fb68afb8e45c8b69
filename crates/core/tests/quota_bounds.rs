//! The calls of teams with quotas over a fleet: never above the limit, and seldom refused below it.

mod quota_common;

use almondsail_core::units::Millis;
use almondsail_seeded::seeds;
use quota_common::{Fleet, Network, Setting, bound, most_in_window, quota};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

const WINDOW: Millis = Millis::new(5_000);
/// Number of cases of each fault; `ALMONDSAIL_CASES` runs more.
const CASES: u64 = 8;
/// Quotas of small and large teams, as calls per second and burst.
const QUOTAS: [(f64, u32); 5] = [(1.0, 2), (5.0, 10), (20.0, 10), (100.0, 50), (400.0, 200)];

/// Returns the numbers of nodes; `ALMONDSAIL_NODES` names another one, for longer runs.
fn node_counts() -> Vec<usize> {
    let named = std::env::var("ALMONDSAIL_NODES").ok().and_then(|text| text.parse().ok());
    named.map_or_else(|| vec![16, 87, 295], |nodes| vec![nodes])
}

/// Checks that no window has more calls than the quota allows, in fleets of each size and for each
/// quota, while the team calls three times as often as it may and `play` makes something fail.
fn check_bound(name: &str, play: impl Fn(&mut Fleet, &mut SmallRng)) {
    for seed in seeds(CASES) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = node_counts()[seed as usize % node_counts().len()];
        let (rate, burst) = QUOTAS[rng.random_range(0..QUOTAS.len())];
        let mut fleet = Fleet::start(Setting::new(nodes, rate, burst, rate * 3.0, seed));
        fleet.run_for(Millis::new(rng.random_range(2_000..4_000)));
        let limit = bound(fleet.setting.quota);
        play(&mut fleet, &mut rng);
        let most = most_in_window(&fleet.admitted, WINDOW) as f64;
        assert!(most < limit, "{name}, seed {seed}, {nodes} nodes, {rate}/s: {most} of {limit}");
    }
}

/// Guards against a successor that grants a full burst, or grants while the old owner does.
#[test]
fn bound_owner_dies() {
    check_bound("owner dies", |fleet, rng| {
        for _ in 0..2 {
            let owner = fleet.owner();
            fleet.kill(owner, Millis::new(rng.random_range(200..7_000)));
            fleet.run_for(Millis::new(rng.random_range(1_000..7_000)));
        }
        fleet.run_for(Millis::new(7_000));
    });
}

/// Guards against an owner that grants what it filled up during a pause.
#[test]
fn bound_owner_frozen() {
    check_bound("owner frozen", |fleet, rng| {
        let owner = fleet.owner();
        fleet.freeze(owner, Millis::new(rng.random_range(300..9_000)));
        fleet.run_for(Millis::new(15_000));
    });
}

/// Guards against two sides of a cut network that both use the full rate.
#[test]
fn bound_network_cut() {
    check_bound("network cut", |fleet, rng| {
        let first = rng.random_range(1..4);
        fleet.cut(|n| n % 4 < first);
        fleet.run_for(Millis::new(rng.random_range(1_000..14_000)));
        fleet.cut(|_| false);
        fleet.run_for(Millis::new(7_000));
    });
}

/// Guards against nodes that use their local shares while the owner, which they don't reach, grants
/// all tokens to others.
#[test]
fn bound_owner_cut_off() {
    check_bound("owner cut off with some nodes", |fleet, rng| {
        let owner = fleet.owner();
        let some = rng.random_range(1..fleet.setting.nodes);
        fleet.cut(|n| n == owner || n < some);
        fleet.run_for(Millis::new(rng.random_range(1_000..14_000)));
        fleet.cut(|_| false);
        fleet.run_for(Millis::new(7_000));
    });
}

/// Guards against full buckets after a restart.
#[test]
fn bound_all_restart() {
    check_bound("all restart", |fleet, rng| {
        for _ in 0..2 {
            for n in 0..fleet.setting.nodes {
                fleet.kill(n, Millis::new(rng.random_range(50..1_500)));
            }
            fleet.run_for(Millis::new(rng.random_range(1_500..4_000)));
        }
        fleet.run_for(Millis::new(7_000));
    });
}

/// Guards against tokens of the earlier limit that are spent after a limit was lowered.
#[test]
fn bound_limit_lowered() {
    check_bound("limit lowered", |fleet, rng| {
        let (rate, burst) = (fleet.setting.quota.rate.per_second(), fleet.setting.quota.burst);
        fleet.set_quota(quota(rate / rng.random_range(2.0..10.0), burst / 2));
        fleet.run_for(WINDOW);
        let lowered = fleet.now;
        fleet.run_for(Millis::new(10_000));
        let after: Vec<_> = fleet.admitted.iter().copied().filter(|at| *at > lowered).collect();
        let most = most_in_window(&after, WINDOW) as f64;
        assert!(
            most < bound(fleet.setting.quota),
            "{most} calls below {}",
            fleet.setting.quota.rate
        );
    });
}

/// Guards against balances at nodes whose callers have left, spent beside those of others.
#[test]
fn bound_demand_moves() {
    check_bound("demand moves", |fleet, rng| {
        for _ in 0..12 {
            let nodes = fleet.setting.nodes;
            let first = rng.random_range(0..nodes);
            fleet.setting.callers = first..rng.random_range(first..nodes) + 1;
            fleet.run_for(Millis::new(rng.random_range(300..2_000)));
        }
    });
}

/// Guards against datagrams that count twice or after the time of their tokens.
#[test]
fn bound_datagrams_lost_late_doubled() {
    check_bound("lost, late and doubled datagrams", |fleet, rng| {
        fleet.setting.network = Network {
            lost: rng.random_range(0.0..0.3),
            doubled: rng.random_range(0.0..0.5),
            late: rng.random_range(0.0..0.5),
        };
        fleet.run_for(Millis::new(12_000));
    });
}

/// Guards against nodes that spend old tokens after a pause.
#[test]
fn bound_requesters_paused() {
    check_bound("requesters paused", |fleet, rng| {
        for _ in 0..5 {
            for n in 0..fleet.setting.nodes {
                if rng.random_bool(0.4) {
                    fleet.freeze(n, Millis::new(rng.random_range(100..2_000)));
                }
            }
            fleet.run_for(Millis::new(rng.random_range(500..3_000)));
        }
        fleet.run_for(Millis::new(5_000));
    });
}

/// Returns the share of the calls that a team gets served in the ten seconds after `play`, at 60% of
/// its rate.
fn served_share(nodes: usize, rate: f64, burst: u32, play: impl Fn(&mut Fleet)) -> f64 {
    let (mut served, mut offered) = (0, 0);
    for seed in 1..4 {
        let mut fleet = Fleet::start(Setting::new(nodes, rate, burst, rate * 0.6, seed));
        fleet.run_for(Millis::new(10_000));
        let before = (fleet.admitted.len() as u64, fleet.offered);
        play(&mut fleet);
        fleet.run_for(Millis::new(10_000));
        served += fleet.admitted.len() as u64 - before.0;
        offered += fleet.offered - before.1;
    }
    served as f64 / offered as f64
}

/// Guards against refusals of teams below their limits.
#[test]
fn served_below_limit() {
    for nodes in node_counts() {
        for (rate, burst) in [(5.0, 10), (20.0, 10), (100.0, 50)] {
            let share = served_share(nodes, rate, burst, |_| {});
            assert!(share > 0.985, "{nodes} nodes, {rate}/s: {share}");
        }
    }
}

/// Guards against refusals after a restart of all nodes.
#[test]
fn served_after_restart() {
    for nodes in node_counts() {
        for (rate, burst) in [(5.0, 10), (20.0, 10), (100.0, 50)] {
            let share = served_share(nodes, rate, burst, |fleet| {
                (0..nodes).for_each(|n| fleet.kill(n, Millis::new(500)));
            });
            assert!(share > 0.97, "{nodes} nodes, {rate}/s: {share}");
        }
    }
}

/// Prints the table of docs/design/quotas.md. Run with `--ignored --nocapture`.
#[test]
#[ignore = "prints a table"]
fn print_served_shares() {
    println!(
        "| nodes | rate | burst | calm | owner dies | owner frozen 3 s | half cut off | all restart |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for nodes in node_counts() {
        for (rate, burst) in [(1.0, 2), (1.0, 5), (5.0, 10), (20.0, 10), (100.0, 50), (400.0, 200)]
        {
            let percent = |play: &dyn Fn(&mut Fleet)| {
                format!("{:.1}%", served_share(nodes, rate, burst, play) * 100.0)
            };
            let dies = percent(&|fleet| {
                let owner = fleet.owner();
                fleet.kill(owner, Millis::new(1_000));
            });
            let frozen = percent(&|fleet| {
                let owner = fleet.owner();
                fleet.freeze(owner, Millis::new(3_000));
            });
            let cut = percent(&|fleet| fleet.cut(|n| n % 4 < 2));
            let restart =
                percent(&|fleet| (0..nodes).for_each(|n| fleet.kill(n, Millis::new(500))));
            let calm = percent(&|_| {});
            println!(
                "| {nodes} | {rate}/s | {burst} | {calm} | {dies} | {frozen} | {cut} | {restart} |"
            );
        }
    }
}
