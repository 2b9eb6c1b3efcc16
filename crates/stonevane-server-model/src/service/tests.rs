use super::*;

#[test]
fn calls_are_worked_off_in_turn_and_turned_away_where_too_much_is_ahead() {
    let mut turns = Turns::default();
    assert_eq!(
        (0..3).map(|_| turns.take(100, 10, 20)).collect::<Vec<_>>(),
        [Some(110), Some(120), Some(130)]
    );
    assert_eq!(turns.take(100, 10, 20), None, "30 are ahead of it");
    assert_eq!(turns.take(110, 5, 20), Some(135), "it costs the service nothing to turn one away");
    assert_eq!(turns.take(500, 7, 0), Some(507));
}
