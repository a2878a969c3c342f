import { formatReport, sendCall } from '../../core/call/index.js'
import type { CallReport, CallRequest } from '../../core/call/index.js'
import { exitCodes } from '../../core/terminal/index.js'
import type { Terminal } from '../../core/terminal/index.js'

const exitCodeByVerdict: Record<CallReport['verdict'], number> = {
  done: exitCodes.ok,
  'not-run': exitCodes.notRun,
  'may-have-run': exitCodes.mayHaveRun
}

/** Sends one call, prints its verdict, cause, tried targets and response, and returns the exit code for the verdict. */
export async function call (request: CallRequest, asJson: boolean, terminal: Terminal): Promise<number> {
  const report = await sendCall(request)
  terminal.print(asJson ? JSON.stringify(report, null, 2) : formatReport(report))
  return exitCodeByVerdict[report.verdict]
}
