//! The shares of the file descriptors and their sum.

use super::*;

impl Descriptors {
    /// All descriptors that may be open at a time. `clients` and `uploads` are parts of `shared`.
    fn sum(&self, admin_enabled: bool) -> usize {
        let budgets = [&self.overflow, &self.shared, &self.probes, &self.watches];
        let admin = if admin_enabled {
            self.admin.limit() + 1
        } else {
            0
        };
        UNSHARED + admin + budgets.iter().map(|budget| budget.limit()).sum::<usize>()
    }
}

#[test]
fn the_shares_add_up_to_the_descriptors_that_there_are() {
    for admin_enabled in [false, true] {
        let mut least = None;
        for total in 0..5_000 {
            match Descriptors::allocate(total, admin_enabled) {
                Ok(shares) => {
                    least.get_or_insert(total);
                    assert_eq!(shares.sum(admin_enabled), total);
                    let (clients, shared) = (shares.clients.limit(), shares.shared.limit());
                    assert!(
                        clients >= 1 && clients < shared,
                        "{total}: clients and servers each have a share"
                    );
                    assert!(
                        shares.uploads.limit() >= 1 && shares.uploads.limit() <= shared - clients
                    );
                }
                Err(error) => {
                    assert!(least.is_none(), "{total}");
                    let text = error.to_string();
                    assert!(
                        text.contains(&total.to_string()) && text.contains("limits.sockets"),
                        "{text}"
                    );
                }
            }
        }
        assert!(least.is_some_and(|least| least < 40), "{least:?}");
    }
}

#[test]
fn a_quarter_of_the_servers_share_is_left_to_buffered_requests() {
    let shares = Descriptors::allocate(1_024, true).unwrap();
    let servers = shares.shared.limit() - shares.clients.limit();
    assert_eq!((servers, servers - shares.uploads.limit()), (341, 85));
}

#[test]
fn the_soft_limit_of_the_process_is_known() {
    assert!(soft_limit().is_some_and(|allowed| allowed > UNSHARED));
}
