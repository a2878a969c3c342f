import type { Logger as Roarr } from 'roarr'
import { createRoarr } from './create-roarr.js'
import { formatEvent } from './format.js'
import type { LogFields, LogLevel } from './types.js'

type LineWriter = (line: string) => void

/** Whether one more line is written; called before a line is formatted. */
type LineAdmission = () => boolean

const severities: Record<LogLevel, number> = { debug: 20, info: 30, warn: 40, error: 50 }

/** Logs the events of one subsystem. Each module gets its logger as a parameter; there is no global one. */
export class Logger {
  private readonly subsystem: string
  private readonly level: LogLevel
  private readonly roarr: Roarr
  private readonly admitLine: LineAdmission

  private constructor (subsystem: string, level: LogLevel, roarr: Roarr, admitLine: LineAdmission) {
    this.subsystem = subsystem
    this.level = level
    this.roarr = roarr
    this.admitLine = admitLine
  }

  /**
   * `write` is called with each line, without a line break; it defaults to standard error. A line that `admitLine` rejects is not
   * formatted, since that costs more than to count it.
   */
  static create (level: LogLevel = 'info', write: LineWriter = line => { process.stderr.write(`${line}\n`) }, admitLine: LineAdmission = () => true): Logger {
    const roarr = createRoarr(({ context, message, time }) => {
      const { subsystem, level, fields } = context as unknown as EventContext
      write(formatEvent(time, level, subsystem, message, fields))
    })
    return new Logger('auburnturn', level, roarr, admitLine)
  }

  /** Creates a logger that discards all events. */
  static createSilent (): Logger {
    return Logger.create('error', () => {})
  }

  /** Creates a logger for a subsystem with the same level and output. */
  createChild (subsystem: string): Logger {
    return new Logger(subsystem, this.level, this.roarr, this.admitLine)
  }

  debug (event: string, fields: LogFields = {}): void { this.emit('debug', event, fields) }
  info (event: string, fields: LogFields = {}): void { this.emit('info', event, fields) }
  warn (event: string, fields: LogFields = {}): void { this.emit('warn', event, fields) }
  error (event: string, fields: LogFields = {}): void { this.emit('error', event, fields) }

  private emit (level: LogLevel, event: string, fields: LogFields): void {
    if (severities[level] < severities[this.level] || !this.admitLine()) return
    const context: EventContext = { subsystem: this.subsystem, level, fields }
    this.roarr[level]({ ...context }, event)
  }
}

/** Context that roarr passes with a message to the function that formats the line. */
interface EventContext {
  readonly subsystem: string
  readonly level: LogLevel
  readonly fields: LogFields
}
