//! The shares and their sum.

use super::*;

impl Descriptors {
    /// All that may be open at once. `clients` and `uploads` are had out of `shared`.
    fn sum(&self, operators: bool) -> usize {
        let budgets = [&self.overflow, &self.shared, &self.probes, &self.watches];
        let callers = if operators { self.admin.most() + 1 } else { 0 };
        BASE + callers + budgets.iter().map(|budget| budget.most()).sum::<usize>()
    }
}

#[test]
fn the_shares_never_add_up_to_more_than_there_is() {
    for operators in [false, true] {
        let mut least = None;
        for most in 0..5_000 {
            match Descriptors::allocate(most, operators) {
                Ok(shares) => {
                    least.get_or_insert(most);
                    assert_eq!(shares.sum(operators), most);
                    let (clients, shared) = (shares.clients.most(), shares.shared.most());
                    assert!(
                        clients >= 1 && clients < shared,
                        "{most}: the servers have a part"
                    );
                    assert!(
                        shares.uploads.most() >= 1 && shares.uploads.most() <= shared - clients
                    );
                }
                Err(error) => {
                    assert!(least.is_none(), "{most}");
                    let told = error.to_string();
                    assert!(
                        told.contains(&most.to_string()) && told.contains("limits.sockets"),
                        "{told}"
                    );
                }
            }
        }
        assert!(least.is_some_and(|least| least < 40), "{least:?}");
    }
}

#[test]
fn a_quarter_of_the_servers_part_is_for_requests_that_came_whole() {
    let shares = Descriptors::allocate(1_024, true).unwrap();
    let servers = shares.shared.most() - shares.clients.most();
    assert_eq!((servers, servers - shares.uploads.most()), (341, 85));
}

#[test]
fn the_system_tells_how_many_it_allows() {
    assert!(soft_limit().is_some_and(|allowed| allowed > BASE));
}
