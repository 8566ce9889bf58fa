//! Guards against a router that does not send its gauges to the receiver in its settings.

mod fleet;

use std::net::UdpSocket;

use fleet::{FleetPlan, TestFleet};

#[ntex::test]
async fn gauges_arrive() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("socket");
    receiver
        .set_read_timeout(Some(fleet::HANG_TIMEOUT))
        .expect("read timeout");
    let mut fleet = TestFleet::start(FleetPlan::new("gauges_arrive").routers(1)).await;
    fleet.routers[0].process.take().expect("router runs").kill();
    fleet.routers[0].settings.metrics = Some(receiver.local_addr().expect("address"));
    fleet.start_router(0);
    let mut text = String::new();
    let mut buffer = [0; 2048];
    while !text.contains("hawthorn.router.serving:1|g") {
        let length = receiver.recv(&mut buffer).expect("metrics");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
        text.push('\n');
    }
    assert!(text.contains("hawthorn.router.revision:1|g"), "{text}");
}
