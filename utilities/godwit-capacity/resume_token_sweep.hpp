#pragma once

namespace godwit::capacity {

/// What sealing resume tokens costs against their number.
void run_resume_token_sweep();

} // namespace godwit::capacity
