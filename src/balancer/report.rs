//! Owns what the module tells of itself for the log and the figures. It reads the state and decides nothing.

use super::{Balancer, Mood, Server, PANIC};

impl Balancer {
    /// What governs the decisions, and the servers that do not carry all their slots, for the log.
    pub fn mood(&self) -> String {
        let Mood {
            limit,
            flow,
            strain: [strain, _],
            late,
            failing,
            ejected,
            ..
        } = self.mood;
        let mut text = format!(
            "in flight {} of {limit:.1}, flow {flow:.1} strain {strain:.2}, ",
            self.inflight
        );
        text += &format!("late {late:.2}, failing {failing:.2}, ejected {ejected:.2}");
        for server in self
            .servers
            .iter()
            .filter(|s| s.ready && self.share(s) < 1.0)
        {
            let (id, held, ratio) = (server.member.server.0, server.inflight, self.pace(server));
            text += &format!(
                ", server {id:x} share {:.2} ratio {ratio:.1} holds {held}",
                self.share(server)
            );
        }
        text
    }

    /// How many listed servers the node avoids now, by its own choice or by hand.
    pub fn avoided(&self) -> usize {
        let ejected = |s: &Server| s.ban.until.is_some() && self.mood.ejected <= PANIC;
        self.servers
            .iter()
            .filter(|s| s.listed && (!s.ready || ejected(s) || self.cut_off(s)))
            .count()
    }

    /// How many slots the next table lacks, while the one before it is still in use.
    pub fn slots_left(&self) -> usize {
        self.build.as_ref().map_or(0, |build| build.left)
    }
}
