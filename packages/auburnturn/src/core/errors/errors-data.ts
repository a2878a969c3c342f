import type { ErrorDefinition } from './types.js'

function defineError<Name extends string> (name: Name, title: string, message: (detail: string) => string, hint?: string): ErrorDefinition & { readonly name: Name } {
  return hint === undefined ? { name, title, message } : { name, title, message, hint }
}

/** Errors that are shown to users: tag, title, message, and in some a hint at how to fix the cause. */
export const errors = {
  'settings-invalid': defineError('settings-invalid', 'Settings are not valid',
    detail => detail,
    'Run `auburnturn check FILE` and correct the problems that it lists.'),
  'settings-unreadable': defineError('settings-unreadable', 'Settings cannot be read',
    detail => `The settings file could not be read: ${detail}`),
  'document-invalid': defineError('document-invalid', 'Configuration entry is not valid',
    detail => `The configuration entry was rejected as a whole:\n${detail}`,
    'The last good version stays active; correct the entry and publish it again.'),
  'document-unreadable': defineError('document-unreadable', 'Document cannot be read',
    detail => `The document could not be read: ${detail}`),
  'usage-invalid': defineError('usage-invalid', 'Command line is not valid',
    detail => detail,
    'Run the command with --help to list its arguments.'),
  'address-invalid': defineError('address-invalid', 'Address is not valid',
    detail => `found ${JSON.stringify(detail)}; allowed: IP:PORT, such as 127.0.0.1:18003 or [::1]:18003`),
  'part-unknown': defineError('part-unknown', 'Node has no such part',
    detail => detail),
  'answer-invalid': defineError('answer-invalid', 'Answer cannot be read',
    detail => `The response is not from the operator address of a node: ${detail}`,
    'Use the operator address of the node, not its address for callers.'),
  'node-unreachable': defineError('node-unreachable', 'Node cannot be reached',
    detail => `No answer from ${detail}`,
    'The operator address is a loopback address by default: run the command on the VM of the node.'),
  'platform-unreachable': defineError('platform-unreachable', 'Platform cannot be reached',
    detail => `The platform did not answer: ${detail}`),
  'address-in-use': defineError('address-in-use', 'Address is already in use',
    detail => `Cannot listen on ${detail}.`)
} as const
