/**
 * Public API of the library: the coordination components for embedding in other programs. It is documented in
 * typings/cumincrank.d.ts; Library.test.ts checks that the exports match these declarations.
 */
export { ManualClock, systemClock } from "./common/Clock";
export { codes, findCode } from "./common/Codes";
export { PeerConnection } from "./connection/PeerConnection";
export { AdmissionLimit } from "./process/admission/AdmissionLimit";
export { FairQueue } from "./process/admission/FairQueue";
export { RetryBudget } from "./process/admission/RetryBudget";
export { UpstreamChoice } from "./process/choice/UpstreamChoice";
export { ConfigurationReplica } from "./process/configuration/ConfigurationReplica";
export { Ledger } from "./process/keys/Ledger";
export { Membership } from "./process/membership/Membership";
