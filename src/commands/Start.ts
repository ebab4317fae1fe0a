/**
 * The first module of the program, built into a small file of its own. It imports what has to be in place before the
 * rest is loaded, in this order, and then loads the command line. What it imports has to run on any Node.js, and imports
 * little itself, since a signal that comes before `EarlySignals` has run ends the process.
 */
import "./NodeVersion";
import "./EarlySignals";

void import("./Main");
