//! Start orders to the simulated VMs, some of which end with a broken connection.

use ragwortstall::core::workload::effect::StartOrder;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::OrderError;
use ragwortstall::core::workload::event::StartError;

use super::Harness;

/// How a connection breaks on which a start is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Break {
    /// Before the VM receives the start.
    BeforeReceipt,
    /// After the VM has carried the start out.
    BeforeAnswer,
    /// As the VM begins a new lifetime, without having received the start.
    Restart,
    /// As the VM begins a new lifetime, after having carried the start out.
    RestartAfterStart,
}

impl Harness {
    /// Carries out a start order, as far as no fault prevents it.
    pub(super) fn answer_start(&mut self, start: StartOrder) -> Answer {
        let id = start.order.vm.clone();
        let no_answer = || StartError::Order(OrderError::NoAnswer("no answer".into()));
        if !self.vms[&id].connected {
            return Answer::Started(start.order, Err(no_answer()));
        }
        if let Some(kind) = self.take_break(&id) {
            if matches!(kind, Break::BeforeAnswer | Break::RestartAfterStart) {
                let _ = self.execute_start(&start);
            }
            if matches!(kind, Break::Restart | Break::RestartAfterStart) {
                self.vms.get_mut(&id).expect("a known VM").restart();
            }
            let broken = OrderError::Broken("the connection was closed".into());
            return Answer::Started(start.order, Err(StartError::Order(broken)));
        }
        let result = self.execute_start(&start);
        if self.lost_start_answers.contains(&id) {
            return Answer::Started(start.order, Err(no_answer()));
        }
        Answer::Started(start.order, result)
    }

    /// Returns how the connection of the next start to a VM breaks, if it does.
    fn take_break(&mut self, vm: &str) -> Option<Break> {
        let breaks = self.broken_starts.get_mut(vm)?;
        (!breaks.is_empty()).then(|| breaks.remove(0))
    }

    fn execute_start(&mut self, start: &StartOrder) -> Result<u64, StartError> {
        let name = start.order.task.clone();
        let id = start.order.vm.clone();
        let run = start.order.run;
        if let Some(answer) = self.vms[&id].answer_if_there(self.now, start) {
            return answer;
        }
        let step = self.submissions[&name.job].steps[usize::from(name.step)].clone();
        let slowdown = self.vms[&id].slowdown;
        let own_end = self.run_end(&name, &step, &start.checkpoint, slowdown);
        let vm = self.vms.get_mut(&id).expect("a known VM");
        let clock_ms = vm.start(self.now, start, &step, own_end)?;
        self.assert_not_duplicated(&name);
        self.starts.push((self.now, name, run, id));
        Ok(clock_ms)
    }
}
