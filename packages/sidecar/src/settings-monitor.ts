import type { Cancel, Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Settings } from './core/settings.js'

/** Reads the settings at a fixed interval and on request, and reports changes. */
export class SettingsMonitor {
  private readonly options: SettingsMonitorOptions
  private readonly cancel: Cancel
  /** The last valid settings, as JSON. */
  private lastText: string

  private constructor (options: SettingsMonitorOptions) {
    this.options = options
    this.lastText = JSON.stringify(options.settings)
    this.cancel = options.clock.every(options.checkIntervalMs, () => { this.check() })
  }

  static create (options: SettingsMonitorOptions): SettingsMonitor {
    return new SettingsMonitor(options)
  }

  /** Reads the settings and calls `onChange` if they have changed. If they are invalid, the previous ones stay active. */
  check (): void {
    const { readSettings, logger, onChange } = this.options
    try {
      const settings = readSettings()
      const newText = JSON.stringify(settings)
      if (newText === this.lastText) return
      this.lastText = newText
      onChange(settings)
    } catch (error) {
      logger.warn('settings-reload-failed', { error: (error as Error).message })
    }
  }

  close (): void {
    this.cancel()
  }
}

interface SettingsMonitorOptions {
  /** The active settings. */
  readonly settings: Settings
  /** Reads the current settings; throws if they are invalid. */
  readonly readSettings: () => Settings
  readonly clock: Clock
  readonly logger: Logger
  readonly checkIntervalMs: number
  readonly onChange: (settings: Settings) => void
}
