//! Follows the platform's log on a thread of its own.

use crate::{
    events::reasons::ConfigurationSource,
    node::{
        core::{ConfigurationInForce, NodeCore},
        mesh::apply_configuration,
    },
    protocol::platform_log::PlatformLog,
    state::{configuration::ConfigurationVersion, log_record::Offset},
    transport::platform::{LogClient, LogTimeouts},
};
use std::{rc::Rc, thread};

/// Reads the log and puts published configurations in force until dropped.
pub async fn follow_log(core: Rc<NodeCore>) {
    let cfg = core.settings.platform_log.clone();
    let (tx, rx) = flume::bounded(16);
    let ticks = core.timers.every(cfg.poll_period);
    thread::spawn(move || {
        let url = format!("http://{}", cfg.address);
        let client = LogClient::new(&url, &cfg.stream, LogTimeouts::default());
        let mut from = Offset(0);
        loop {
            if let Ok(page) = client.read(from, 100) {
                for record in page.records {
                    from = record.offset.next();
                    if tx.send(record).is_err() {
                        return;
                    }
                }
            }
            if ticks.recv().is_err() {
                return;
            }
        }
    });
    while let Ok(record) = rx.recv_async().await {
        if let Ok(content) = serde_json::from_str(&record.body) {
            let version = ConfigurationVersion(record.offset.0 + 1);
            let configuration = ConfigurationInForce { version, content };
            apply_configuration(&core, configuration, ConfigurationSource::Log);
        }
    }
}
