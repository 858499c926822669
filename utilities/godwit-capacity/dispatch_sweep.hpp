#pragma once

namespace godwit::capacity {

/// What the scheduler of one entry host costs: a request and a token report
/// against backend servers, a request and a tick against queue length.
void run_dispatch_sweep();

} // namespace godwit::capacity
