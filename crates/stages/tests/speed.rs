//! Speed of upstreams: spells in which their machines are shared, and upstreams that are slow by
//! themselves.

use std::time::Duration;

use stages::speed::Percent;
use stages::speed::Speed;
use tokio::time::Instant;

/// Duration of a spell.
const SPELL: Duration = Duration::from_millis(600);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn percent(figure: u64) -> Percent {
    Percent::new(figure).expect("a speed")
}

/// Load: one in seven slow for 600 ms. A figure weighs while it is fresh and nothing once the spell
/// must be over.
#[test]
fn a_told_spell_weighs_only_while_it_is_fresh() {
    let now = Instant::now();
    let mut speed = Speed::default();
    speed.record_told(percent(250), now);
    assert!(speed.slowdown(now) > 2.4);
    assert!(speed.slowdown(now + SPELL / 4) > 1.5);
    assert!(speed.slowdown(now + SPELL) < 1.25);
    assert!(!speed.is_slow(now), "a spell is no fault");
}

/// Load: one in seven slow for 600 ms, untold. One slow call takes no upstream out for longer than a
/// spell; a call of up to a second, at a speed that holds for all of it, is not slower.
#[test]
fn one_slow_call_does_not_make_an_upstream_slow() {
    for ratio in [2.1, 2.5, 3.0, 5.0] {
        let now = Instant::now();
        let mut speed = Speed::default();
        speed.record_call(1.0, now);
        speed.record_call(ratio, now + ms(900));
        let after = now + ms(900) + SPELL;
        assert!(!speed.is_slow(now + ms(900)), "ratio {ratio}");
        assert!(speed.slowdown(after) < 1.5, "ratio {ratio}");
    }
}

/// Load: an upstream that is five times slower for six seconds. It is slow after its second call and
/// avoided for seconds, whatever it tells; one more slow call is enough when it is tried again.
#[test]
fn slow_calls_in_a_row_make_an_upstream_slow() {
    for told in [None, Some(100)] {
        let mut now = Instant::now();
        let mut speed = Speed::default();
        for _ in 0..2 {
            now += ms(1_100);
            told.into_iter()
                .for_each(|it| speed.record_told(percent(it), now));
            speed.record_call(5.0, now);
        }
        assert!(speed.is_slow(now + ms(3_000)));
        assert!(!speed.is_slow(now + ms(8_000)), "it is tried again");
        speed.record_call(1.0, now + ms(8_000));
        assert!(!speed.is_slow(now + ms(8_000)));
    }
}

/// Load: three calls in a row at the speed of a spell, which no spell lasts for.
#[test]
fn an_upstream_that_stays_as_slow_as_a_spell_is_slow() {
    let mut now = Instant::now();
    let mut speed = Speed::default();
    for expected in [false, false, true] {
        now += ms(900);
        speed.record_call(2.5, now);
        assert_eq!(speed.is_slow(now), expected);
    }
}

/// Guards against slow calls that are minutes apart and count as in a row.
#[test]
fn slow_calls_far_apart_are_not_in_a_row() {
    let mut now = Instant::now();
    let mut speed = Speed::default();
    for _ in 0..20 {
        now += ms(10_000);
        speed.record_call(2.5, now);
        assert!(!speed.is_slow(now));
    }
}

/// Figures that lie: none makes an upstream slow, and the time of calls counts again once they stop.
#[test]
fn a_figure_that_lies_does_not_make_an_upstream_slow() {
    assert_eq!(Percent::new(0), None);
    assert_eq!(Percent::new(u64::MAX), None);
    let mut now = Instant::now();
    let mut speed = Speed::default();
    for _ in 0..10 {
        now += ms(300);
        speed.record_told(percent(2_000), now);
        speed.record_call(1.0, now);
        assert!(!speed.is_slow(now));
        assert!(speed.slowdown(now) <= 4.0);
    }
    speed.record_call(2.5, now + ms(1_000));
    assert!(speed.spell(now + ms(1_000)) > 2.4);
}
